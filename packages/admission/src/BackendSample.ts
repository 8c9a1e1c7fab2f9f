/**
 * One answer, or the lack of it, of the backend server. `shed`: it refused for overload. `refused`: it did not accept a
 * connection. `failed`: it answered with an error or not at all, which says nothing about its load.
 */
export interface BackendSample {
  readonly kind: 'answered' | 'shed' | 'refused' | 'failed';
  /** Monotonic time at which the request was sent, in milliseconds. */
  readonly startedMs: number;
  readonly latencyMs: number;
  /** Requests that ran when this one ended, including it. */
  readonly running: number;
}
