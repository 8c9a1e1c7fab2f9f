import type { LeaseStanding } from '#ranges/LeaseStanding.js';

/**
 * Whether keys owned under `term` can be taken over at once, given the lease record. The record has to be read after the
 * table: a holder with a new term first moves its rows to that term, so a takeover planned on the older table conflicts.
 */
export function isTermEnded(term: number, standing: LeaseStanding | undefined): boolean {
  if (standing === undefined) return false;
  return standing.term > term || (standing.term === term && standing.revoked);
}
