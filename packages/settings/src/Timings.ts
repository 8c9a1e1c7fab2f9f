/** Durations that the protocols use, in milliseconds; see docs/design.md, section 6. */
export interface Timings {
  readonly leaseMs: number;
  readonly renewEveryMs: number;
  /** Bound of the clock-rate drift between two VMs, as a fraction: 0.01 is 1 %. */
  readonly clockDrift: number;
  readonly spreadEveryMs: number;
  /** Longest time that a graceful shutdown waits for requests in flight. */
  readonly shutdownMs: number;
  /** Time for which ids of non-repeatable requests are remembered at least. */
  readonly onceHorizonMs: number;
}
