/** Settings of the straggler simulation. Durations are in milliseconds. */
export interface StragglerSettings {
  readonly seed: number;
  /** Factor by which the first server is slowed while requests are measured; 1 for the unslowed run. */
  readonly slowdown: number;
  readonly servers: number;
  readonly slots: number;
  /** Number of entry daemons, each with its own policy; requests are spread evenly over them. */
  readonly daemons: number;
  readonly meanServiceMs: number;
  /** Offered load as a fraction of the unslowed capacity. */
  readonly utilization: number;
  readonly reportLagMs: number;
  readonly warmUpMs: number;
  readonly measuredMs: number;
  /** Whether outliers are ejected. */
  readonly ejects: boolean;
  /** Whether requests are hedged. The slower attempt is not cancelled, which is the worst case for the load. */
  readonly hedges: boolean;
}
