import type { BackendRequest } from '#mesh/BackendRequest.js';

/** A request that waits for a slot of the backend server. */
export interface QueuedBackendRequest {
  readonly request: BackendRequest;
  /** Monotonic time of its arrival, in milliseconds. */
  readonly queuedMs: number;
  /** Expected service time, in milliseconds. */
  readonly serviceMs: number;
  /** Whether it takes precedence in the queue and may use the slot that is reserved for short requests. */
  readonly isShort: boolean;
  /** Kind of request, by which shares are counted. */
  readonly kind: string;
}
