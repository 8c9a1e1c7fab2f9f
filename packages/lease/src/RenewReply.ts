/** Reply of a witness to a renewal. */
export interface RenewReply {
  readonly epoch: number;
  /** Send time of the request, copied from it. */
  readonly sentAtMs: number;
  readonly granted: boolean;
  /** Current nonce of the witness. */
  readonly nonce: string;
  /** Highest epoch of this server that the witness will never renew again. */
  readonly promisedEpoch: number;
}
