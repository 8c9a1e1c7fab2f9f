/** Memory shared between a test and the callers of `CallerLoadMain`, which run in a worker thread. */
export interface CallerLoad {
  readonly port: number;
  /** One element: number of requests that callers start per second. */
  readonly perSecond: Int32Array;
  /** One element: number of requests started so far, which is the number of the next one. */
  readonly started: Int32Array;
  /** By request: 0 while it is open, 1 if it was served, 2 if its caller gave up. */
  readonly ends: Int8Array;
  /** By attempt: wall-clock time at which the caller closed the connection without a response; 0 before. */
  readonly leftMs: Float64Array;
}
