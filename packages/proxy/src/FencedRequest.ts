import type { RoutedRequest } from '#proxy/RoutedRequest.js';

/** An order that the owner task has admitted to the backend server. */
export interface FencedRequest {
  readonly order: RoutedRequest;
  readonly body: RoutedRequest['body'];
  /** Deadline on the monotonic clock; capped at the lease end where the backend server does not check tokens. */
  readonly deadlineAtMs: number;
  /** Epoch of the grant; 0 for requests that need no ownership. */
  readonly epoch: number;
  /** Fencing token of the shard; 0 for requests that need no ownership. */
  readonly token: number;
}
