/** Asks a witness to renew the lease of a server. */
export interface RenewRequest {
  readonly serverId: string;
  readonly epoch: number;
  /** Send time on the holder's monotonic clock; the witness only returns it. */
  readonly sentAtMs: number;
  /** Whether the holder's lease, or the time L after it began to write this epoch, had not ended at the send time. */
  readonly continuous: boolean;
  /** Nonce of the witness as far as the holder knows it; empty if unknown. */
  readonly nonce: string;
}
