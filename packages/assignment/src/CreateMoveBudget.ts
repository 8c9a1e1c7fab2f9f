import type { MoveBudget } from '#assignment/MoveBudget.js';

/** Returns the default limits with no recent moves. */
export function createMoveBudget(): MoveBudget {
  return { balancePerMinute: 60, drainMs: 3_000, fillPerMember: 4, fillPerDomain: 8, recent: [] };
}
