/** Limit of the number of headers in a message between daemons. */
export const maxHeaders = 10_000;
