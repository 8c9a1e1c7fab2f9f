/** A customer whose requests carry one of its API keys. */
export interface Tenant {
  readonly name: string;
  /** 0 is the most urgent; undefined if the priority of the route applies. */
  readonly priority: number | undefined;
  /** Requests per second that all daemons together may run; 0 for no limit. */
  readonly ratePerSecond: number;
  /** Requests that may run at once above the rate. */
  readonly burst: number;
  /** Regions in which requests may be served; any region if empty. */
  readonly homeRegions: readonly string[];
}
