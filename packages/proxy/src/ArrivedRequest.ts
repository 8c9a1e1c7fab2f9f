import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CheckedRequest } from '#proxy/CheckedRequest.js';
import type { RequestHead } from '#proxy/RequestHead.js';

/** A caller's request whose head has passed the checks. */
export interface ArrivedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly head: RequestHead;
  readonly checked: CheckedRequest;
  /** Arrival time on the monotonic clock, in milliseconds. */
  readonly startedMs: number;
}
