import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CheckedRequest } from '#proxy/CheckedRequest.js';
import type { RequestHead } from '#proxy/RequestHead.js';

/** A request of a caller whose head passed the checks. */
export interface ArrivedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly head: RequestHead;
  readonly checked: CheckedRequest;
  /** Monotonic time of the arrival, in milliseconds. */
  readonly startedMs: number;
}
