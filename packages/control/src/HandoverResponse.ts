/** Result of the call `handover`. */
export interface HandoverResponse {
  /** Process that received the records. */
  readonly incarnation: string;
}
