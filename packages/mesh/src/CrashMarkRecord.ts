import type { StoredCrashMark } from '#mesh/StoredCrashMark.js';

/** Store object in which a daemon keeps the crash marks that it set, for daemons that start later. */
export interface CrashMarkRecord {
  readonly service: string;
  readonly marks: readonly StoredCrashMark[];
}
