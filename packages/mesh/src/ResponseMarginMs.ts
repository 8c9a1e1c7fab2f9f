/** Time reserved for sending a response to the caller before its deadline or target, in milliseconds. */
export const responseMarginMs = 20;
