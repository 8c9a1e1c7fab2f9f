/** Result of the call `handover`. */
export interface HandoverAnswer {
  /** Process that holds the records. */
  readonly incarnation: string;
}
