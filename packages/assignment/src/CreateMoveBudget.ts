import type { MoveBudget } from '#assignment/MoveBudget.js';

/** Returns the default limits with no recent moves. */
export function createMoveBudget(): MoveBudget {
  return { balancePerMinute: 240, drainMs: 3_000, fillPerMember: 16, fillPerDomain: 32, recent: [] };
}
