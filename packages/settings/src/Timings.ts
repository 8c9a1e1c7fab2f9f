/** Durations that the protocols use, in milliseconds; see docs/design.md, section 6. */
export interface Timings {
  readonly leaseMs: number;
  readonly renewEveryMs: number;
  /** Upper bound of the difference between the clock rates of two VMs, as a fraction: 0.01 is 1 %. */
  readonly clockDrift: number;
  /** Mean interval at which a daemon exchanges versions with peers. */
  readonly spreadEveryMs: number;
  /** Longest duration of a graceful shutdown. */
  readonly shutdownMs: number;
  /** Shortest time for which the idempotency records of non-repeatable requests are kept. */
  readonly onceHorizonMs: number;
}
