/** Durations of a daemon's lease in the store, in milliseconds. */
export interface LeaseTimings {
  /** A lease lasts this long from the moment at which its renewal was sent. */
  readonly leaseMs: number;
  readonly renewEveryMs: number;
  /** Grants to a backend server last at most this long. */
  readonly maxGrantMs: number;
  /** Part by which a backend server's clock may run slow. */
  readonly clockDrift: number;
  /** Difference that delays between two daemons may make. */
  readonly marginMs: number;
}
