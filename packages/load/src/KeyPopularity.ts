/** Popularity of keys: a Zipf distribution whose most popular keys change over time. */
export interface KeyPopularity {
  readonly keyCount: number;
  /** Exponent of the Zipf distribution; 0 is uniform. */
  readonly exponent: number;
  /** Number of top ranks (the hot keys) whose keys change. */
  readonly hotKeys: number;
  /** Time between changes of the hot keys, in milliseconds. */
  readonly shiftEveryMs: number;
}
