/** Figures of one variant. Imbalance is the greatest over the mean load of the members, taken every second. */
export interface ImbalanceFigures {
  readonly meanImbalance: number;
  readonly p95Imbalance: number;
  readonly worstImbalance: number;
  readonly slotMovesPerMinute: number;
  readonly rowMovesPerMinute: number;
  /** Share of all keys whose owner changes in a minute, in percent. */
  readonly keysMovedPercentPerMinute: number;
  /** Share of the requests whose key's owner changes in a minute, in percent. */
  readonly loadMovedPercentPerMinute: number;
  /** Greatest number of hot-key rows. */
  readonly rows: number;
  /** Mean processor time of planning for one second of the run, in milliseconds. */
  readonly planMs: number;
}
