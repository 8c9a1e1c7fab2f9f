import type { LeaseRecord } from '#mesh/LeaseRecord.js';

/** A lease record as read at `revision`. */
export interface LeaseEntry {
  readonly record: LeaseRecord;
  readonly revision: number;
}
