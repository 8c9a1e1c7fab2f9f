/** Limits that operators set for hedged requests. */
export interface HedgeSettings {
  /** Fraction of the requests of a service that may be hedged; 0 turns hedging off. */
  readonly fraction: number;
  /** Percentile of the latency of a kind of request after which a request is hedged, between 0 and 100. */
  readonly percentile: number;
}
