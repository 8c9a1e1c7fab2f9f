import type { LeaseRecord } from '#mesh/LeaseRecord.js';

/** A lease record and the revision at which it was read. */
export interface LeaseEntry {
  readonly record: LeaseRecord;
  readonly revision: number;
}
