/** Result of the call `handover`. */
export interface HandoverResponse {
  /** Process that holds the records. */
  readonly incarnation: string;
}
