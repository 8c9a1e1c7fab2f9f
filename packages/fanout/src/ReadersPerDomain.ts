/** Daemons of each failure domain that watch the store: one, and another that already has the state if it is lost. */
export const readersPerDomain = 2;
