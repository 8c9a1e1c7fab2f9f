/**
 * End of one request at the backend server. `shed`: it refused the request because of overload. `refused`: it did not
 * accept a connection. `failed`: it returned an error or no response, which is no evidence about its load.
 */
export interface BackendSample {
  readonly kind: 'answered' | 'shed' | 'refused' | 'failed';
  /** Time at which the request was sent, on the monotonic clock in milliseconds. */
  readonly startedMs: number;
  readonly latencyMs: number;
  /** Number of requests that were running when this one ended, including it. */
  readonly running: number;
}
