import type { RoutedRequest } from '#proxy/RoutedRequest.js';

/** An order at the owner task, from its arrival until its end. */
export interface OwnedRequest {
  readonly order: RoutedRequest;
  /** Shard of the order; empty for orders that need no ownership. */
  readonly shardId: string;
  /** Whether the order holds the record of its idempotency key. */
  readonly recorded: boolean;
  /** Time that the order may run past the lease end, in milliseconds. */
  readonly graceMs: number;
  /** Monotonic time of the arrival, in milliseconds. */
  readonly arrivedMs: number;
}
