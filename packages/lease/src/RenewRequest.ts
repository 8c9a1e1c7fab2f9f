/** Asks a witness to renew the lease of a server. */
export interface RenewRequest {
  readonly serverId: string;
  readonly epoch: number;
  /** Send time on the holder's monotonic clock; the witness only copies it to the reply. */
  readonly sentAtMs: number;
  /** Whether at the send time the lease was valid, or `leaseMs` had not passed since the write of this epoch began. */
  readonly continuous: boolean;
  /** Nonce of the witness as far as the holder knows it; empty if unknown. */
  readonly nonce: string;
}
