/** Durations of the ownership protocol in milliseconds; docs/design.md, section 6. */
export interface LeaseConfig {
  /** L: length of a lease, counted from the send time of a renewal. */
  readonly leaseMs: number;
  readonly renewEveryMs: number;
  /** D: bound of the clock-rate drift between two VMs, as a fraction. */
  readonly clockDrift: number;
  /** W: time after which a witness takes its last grant for expired. */
  readonly witnessExpiryMs: number;
  /** P: age up to which a promise counts. */
  readonly promiseMaxAgeMs: number;
  /** Q: time for which a restarted witness answers nothing. */
  readonly silentMs: number;
}
