/** Headers of one message between daemons at most. */
export const maxHeaders = 10_000;
