import type { LeaseStanding } from '#ranges/LeaseStanding.js';

/**
 * Whether keys that stand under `term` can be taken over at once. The record has to be read after the table: a holder
 * moves its rows to a new term by a change of the table, so that a takeover planned on the older table conflicts.
 */
export function isTermEnded(term: number, standing: LeaseStanding | undefined): boolean {
  if (standing === undefined) return false;
  return standing.term > term || (standing.term === term && standing.revoked);
}
