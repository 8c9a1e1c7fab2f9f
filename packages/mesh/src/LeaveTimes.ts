/**
 * Grace periods in which keyed requests are still admitted to a backend server that has to leave, in
 * milliseconds.
 */
export interface LeaveTimes {
  /** Counted from the acknowledgement of its withdrawal. */
  readonly keyedLeaveMs: number;
  /** Counted from the evacuation of its failure domain. */
  readonly keyedEvacuationMs: number;
}
