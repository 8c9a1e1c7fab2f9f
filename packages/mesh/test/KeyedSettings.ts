/** Settings of a simulated service with keys. */
export interface KeyedSettings {
  readonly seed: number;
  readonly owners: number;
  readonly slots: number;
  readonly speeds: readonly [number, number];
  /** Mean demand, as a fraction of what all owners can do. */
  readonly utilization: number;
  /** Fractions of the requests for the hot key and for the busy keys that follow it; the rest is for random keys. */
  readonly hotKey: number;
  readonly nearHotKey: number;
  /** Time after which another key is hot, in milliseconds. */
  readonly hotMs: number;
  readonly durationMs: number;
}
