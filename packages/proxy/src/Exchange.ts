import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import type { Cancel } from '#core/Cancel.js';
import type { DeliveryContext } from '#delivery/DeliveryContext.js';
import type { CheckedRequest } from '#proxy/CheckedRequest.js';
import type { ExchangeContext } from '#proxy/ExchangeContext.js';
import type { OrderBody } from '#proxy/OrderBody.js';
import type { RequestHead } from '#proxy/RequestHead.js';
import type { Target } from '#proxy/Target.js';

/** One request of a caller while it is open; only the entry task changes it. */
export interface Exchange {
  readonly id: string;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly head: RequestHead;
  readonly checked: CheckedRequest;
  readonly startedMs: number;
  readonly deadlineAtMs: number;
  readonly cancelDeadline: Cancel;
  readonly snapshot: ChartSnapshot<ExchangeContext>;
  readonly delivery: ChartSnapshot<DeliveryContext>;
  readonly body: OrderBody;
  readonly target: Target | undefined;
  readonly tried: ReadonlySet<string>;
  readonly attemptStartedMs: number;
  /** Holds back the sender of the answer; undefined before its head. */
  readonly pause: (() => void) | undefined;
  /** Whether the receipt task decides the outcome. */
  readonly isReceiptDue: boolean;
  /** Code of the refusal or failure that the caller got; empty for answers. */
  readonly code: string;
}
