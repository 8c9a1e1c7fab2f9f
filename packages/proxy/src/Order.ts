import type { Entry } from '#catalogue/Entry.js';
import type { OrderBody } from '#proxy/OrderBody.js';
import type { OrderEvent } from '#proxy/OrderEvent.js';
import type { RequestHead } from '#proxy/RequestHead.js';

/** One attempt to run a request at a backend server. */
export interface Order {
  /** Unique id of this attempt, by which it can be cancelled. */
  readonly orderId: string;
  readonly head: RequestHead;
  readonly entry: Entry;
  /** Deadline on the monotonic clock of this daemon, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly body: OrderBody;
  readonly emit: (event: OrderEvent) => void;
}
