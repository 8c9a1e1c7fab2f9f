/** Longest delay of a timer, in milliseconds. Node.js fires a timer with a longer delay immediately. */
export const maxDurationMs = 2_147_483_647;
