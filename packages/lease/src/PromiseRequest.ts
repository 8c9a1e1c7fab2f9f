/** Asks a witness never to renew the epochs of a server up to `epoch`. Sent only after the store accepted the fence. */
export interface PromiseRequest {
  readonly serverId: string;
  readonly epoch: number;
  /** Send time on the new owner's monotonic clock; the witness only copies it to the reply. */
  readonly sentAtMs: number;
}
