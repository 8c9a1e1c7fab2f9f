import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Cancel } from '#core/Cancel.js';
import type { CheckedRequest } from '#proxy/CheckedRequest.js';
import type { RequestHead } from '#proxy/RequestHead.js';

/** What stays the same of one request of a caller while it is open. */
export interface Exchange {
  readonly id: string;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly head: RequestHead;
  readonly checked: CheckedRequest;
  readonly startedMs: number;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly cancelDeadline: Cancel;
}
