/** Time of a caller's deadline or target that is kept for the answer's way to it, in milliseconds. */
export const returnMs = 20;
