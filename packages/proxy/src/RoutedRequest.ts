import type { Entry } from '#catalogue/Entry.js';
import type { RequestBody } from '#proxy/RequestBody.js';
import type { RoutedRequestEvent } from '#proxy/RoutedRequestEvent.js';
import type { RequestHead } from '#proxy/RequestHead.js';

/** One attempt to run a request at a backend server. */
export interface RoutedRequest {
  /** Unique id of this attempt, sent to the backend server as `amr-order-id` and used to cancel the attempt. */
  readonly orderId: string;
  readonly head: RequestHead;
  readonly entry: Entry;
  /** Deadline on the monotonic clock of this daemon, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly body: RequestBody;
  readonly emit: (event: RoutedRequestEvent) => void;
}
