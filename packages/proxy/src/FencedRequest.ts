import type { RoutedRequest } from '#proxy/RoutedRequest.js';

/** A request that the owner task has admitted to the backend server, with its fencing token. */
export interface FencedRequest {
  readonly request: RoutedRequest;
  readonly body: RoutedRequest['body'];
  /** Deadline on the monotonic clock; capped at the lease end if the backend server does not check fencing tokens. */
  readonly deadlineAtMs: number;
  /** Epoch of the lease grant. */
  readonly epoch: number;
  /** Fencing token of the shard; 0 for requests that need no ownership, which are sent without token and epoch. */
  readonly token: number;
}
