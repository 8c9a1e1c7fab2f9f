import type { RoutedRequest } from '#proxy/RoutedRequest.js';

/** A request at the owner task, from its arrival to its end. */
export interface OwnedRequest {
  readonly request: RoutedRequest;
  /** Shard of the request's key; empty for requests that need no ownership. */
  readonly shardId: string;
  /** Whether the request has an idempotency record, that is, whether it is not repeatable. */
  readonly recorded: boolean;
  /** Time that the request may run past the lease end, in milliseconds. */
  readonly graceMs: number;
  /** Arrival time on the monotonic clock, in milliseconds. */
  readonly arrivedMs: number;
}
