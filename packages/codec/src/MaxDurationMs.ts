/** Longest time of a timer; Node.js fires one that is longer at once. In milliseconds. */
export const maxDurationMs = 2_147_483_647;
