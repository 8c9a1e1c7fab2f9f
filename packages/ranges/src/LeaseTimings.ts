/** Timings of daemons' leases and of the grants under them, in milliseconds. */
export interface LeaseTimings {
  /** Duration of a lease, counted from the time at which its renewal was sent. */
  readonly leaseMs: number;
  readonly renewEveryMs: number;
  /** Longest duration of a grant to a backend server. */
  readonly maxGrantMs: number;
  /** Fraction by which a backend server's clock may run slow. */
  readonly clockDrift: number;
  /** Safety margin for delays between two daemons. */
  readonly marginMs: number;
}
