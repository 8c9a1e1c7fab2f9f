/** Settings of the straggler simulation. Durations are in milliseconds. */
export interface StragglerSettings {
  readonly seed: number;
  /** Factor by which the first server is slowed while requests are measured; 1 for the unslowed run. */
  readonly slowdown: number;
  readonly servers: number;
  readonly slots: number;
  /** Entry daemons, each with a policy of its own; requests are spread evenly over them. */
  readonly daemons: number;
  readonly meanServiceMs: number;
  /** Part of the unslowed capacity that the requests take. */
  readonly utilization: number;
  readonly reportLagMs: number;
  readonly warmUpMs: number;
  readonly measuredMs: number;
  /** Whether outliers are ejected. */
  readonly ejects: boolean;
  /** Whether requests are hedged. The slower attempt is not cancelled, so the load is that of the worst case. */
  readonly hedges: boolean;
}
