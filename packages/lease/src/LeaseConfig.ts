/** Durations of the lease protocol in milliseconds, with their symbols in docs/design.md, section 6. */
export interface LeaseConfig {
  /** L: length of a lease, counted from the send time of a renewal. */
  readonly leaseMs: number;
  readonly renewEveryMs: number;
  /** D: upper bound of the clock-rate drift between two VMs, as a fraction. */
  readonly clockDrift: number;
  /** W: time after which a witness considers its last grant expired. */
  readonly witnessExpiryMs: number;
  /** P: maximum age of a promise that counts. */
  readonly promiseMaxAgeMs: number;
  /** Q: time for which a restarted witness answers no calls. */
  readonly silentMs: number;
}
