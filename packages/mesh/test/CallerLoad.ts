/** Memory that a test shares with the callers of `CallerLoadMain`, which run in a thread of their own. */
export interface CallerLoad {
  readonly port: number;
  /** One cell: requests that callers begin each second. */
  readonly perSecond: Int32Array;
  /** One cell: requests begun so far, which is the number of the next one. */
  readonly begun: Int32Array;
  /** For each request 1 if it was served, 2 if its caller gave up, and 0 before. */
  readonly ends: Int8Array;
  /** For each attempt the wall-clock time at which its caller closed the connection without an answer; 0 before. */
  readonly leftMs: Float64Array;
}
