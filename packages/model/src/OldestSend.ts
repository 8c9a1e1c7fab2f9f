/** Send time, in steps, before which all send times have the same effect on every rule of the model. */
export const oldestSend = -9;
