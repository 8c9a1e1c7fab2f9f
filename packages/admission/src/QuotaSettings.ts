/** Constants of the division of fleet-wide limits, the same in the whole fleet. */
export interface QuotaSettings {
  /** Time for which a slice may be used, in milliseconds. */
  readonly sliceMs: number;
  /** The same for entries with few units, of which a unit that an idle daemon holds is a large part. */
  readonly smallSliceMs?: number;
  /** Part of each limit that is never handed out, but divided evenly for use without the holder. */
  readonly reserve: number;
  /** Bound of the clock-rate drift between two VMs, as a fraction. */
  readonly clockDrift: number;
}
