/** Answer of a witness to a promise request. */
export interface PromiseReply {
  /** Send time of the request, returned. */
  readonly sentAtMs: number;
  /** Epoch of the request, returned. */
  readonly epoch: number;
  readonly promised: boolean;
  /** Time until the last grant has expired, at the moment of the answer. */
  readonly remainingMs: number;
}
