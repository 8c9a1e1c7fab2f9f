/** Time before the deadline or target of a caller that is reserved for sending the response, in milliseconds. */
export const responseMarginMs = 20;
