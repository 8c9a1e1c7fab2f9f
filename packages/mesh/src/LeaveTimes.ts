/** How long keyed orders are still taken once a backend server has to leave, in milliseconds. */
export interface LeaveTimes {
  /** After the acknowledgement of its leave. */
  readonly keyedLeaveMs: number;
  /** After operators took its failure domain out. */
  readonly keyedEvacuationMs: number;
}
