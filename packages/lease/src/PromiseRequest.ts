/** Asks a witness never to renew an epoch of a server up to `epoch`. Sent only after the store accepted the fence. */
export interface PromiseRequest {
  readonly serverId: string;
  readonly epoch: number;
  /** Send time on the new owner's monotonic clock; the witness only returns it. */
  readonly sentAtMs: number;
}
