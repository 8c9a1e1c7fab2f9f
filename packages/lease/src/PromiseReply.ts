/** Reply of a witness to a promise request. */
export interface PromiseReply {
  /** Send time of the request, copied from it. */
  readonly sentAtMs: number;
  /** Epoch of the request, copied from it. */
  readonly epoch: number;
  readonly promised: boolean;
  /** Time from the reply until the last grant has expired, in milliseconds. */
  readonly remainingMs: number;
}
