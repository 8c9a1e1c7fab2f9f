import type { BackendRequest } from '#mesh/BackendRequest.js';

/** An order that waits for a slot. */
export interface QueuedBackendRequest {
  readonly order: BackendRequest;
  /** Monotonic time of its arrival, in milliseconds. */
  readonly queuedMs: number;
  /** Time that the backend server is expected to need for it, in milliseconds. */
  readonly serviceMs: number;
  /** Whether it goes before others and may take the last slot. */
  readonly isShort: boolean;
}
