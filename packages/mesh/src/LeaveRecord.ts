/** The part of a `ServerEntry` that tells a later process of the daemon that the run of the backend server has left. */
export interface LeaveRecord {
  /** Wall-clock time at which the run started, in milliseconds since the Unix epoch. */
  readonly bornMs: number;
  /** Sequence number of the last announcement when the run began to leave; earlier ones may still arrive. */
  readonly sequence: number;
}
