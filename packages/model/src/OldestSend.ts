/** Send time, in steps, below which all ages have the same effect in every rule of the model. */
export const oldestSend = -9;
