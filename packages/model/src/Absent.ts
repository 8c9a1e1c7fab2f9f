/** Number that stands for an absent value in a key. */
export const absent = 40;
