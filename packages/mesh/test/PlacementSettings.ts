/** Settings of a simulated service without keys. */
export interface PlacementSettings {
  readonly seed: number;
  readonly daemons: number;
  readonly servers: number;
  readonly slots: number;
  /** Mean demand, as a fraction of what all servers can do. */
  readonly utilization: number;
  /** Fraction by which the demand of a failure domain rises and falls within 17 s. */
  readonly wave: number;
  /** Lowest and highest speed of a server. */
  readonly speeds: readonly [number, number];
  /** Factor up to which the speed of a server changes several times a second; 1 for none. */
  readonly jitter: number;
  readonly durationMs: number;
  /** Part of the requests of the first server that fail. */
  readonly failing: number;
  /** Time at which the last server joins; cold servers refuse requests above a rate. */
  readonly joinMs: number;
}
