/**
 * Records that a request was in flight when a backend server crashed, or that this mark was cleared. The daemons of a
 * cell exchange marks. Merging is idempotent and independent of the order, since a cleared mark stays cleared.
 */
export interface CrashMark {
  /** Hash of team, class, service, key, method, path and body. */
  readonly fingerprint: string;
  /** Identifies the crash, by the server id and incarnation of the backend server that crashed. */
  readonly death: string;
  readonly cleared: boolean;
}
