/** Figures of one variant. Imbalance is the highest load of a member divided by the mean, sampled every second. */
export interface ImbalanceFigures {
  readonly meanImbalance: number;
  readonly p95Imbalance: number;
  readonly maxImbalance: number;
  readonly slotMovesPerMinute: number;
  readonly hotKeyMovesPerMinute: number;
  /** Share of all keys whose owner changes per minute, in percent. */
  readonly keysMovedPercentPerMinute: number;
  /** Share of the requests whose key changes owner per minute, in percent. */
  readonly loadMovedPercentPerMinute: number;
  /** Highest number of shards that hold a single hot key. */
  readonly hotKeyShards: number;
  /** Mean processor time of planning for one second of the run, in milliseconds. */
  readonly meanPlanMs: number;
}
