/** Popularity of keys: Zipf by rank, with a set of most popular keys that changes. */
export interface KeyPopularity {
  readonly keyCount: number;
  /** Exponent of the Zipf distribution; 0 is uniform. */
  readonly exponent: number;
  /** Number of top ranks whose keys change. */
  readonly hotKeys: number;
  /** Time after which they change, in milliseconds. */
  readonly shiftEveryMs: number;
}
