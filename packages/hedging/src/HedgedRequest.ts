import type { ChartCursor } from '#chart/ChartCursor.js';
import type { Cancel } from '#core/Cancel.js';
import type { HedgedRequestEvent } from '#hedging/HedgedRequestEvent.js';
import type { HedgeOffer } from '#hedging/HedgeOffer.js';
import type { HedgeReply } from '#hedging/HedgeReply.js';

/** A copy of a request that was sent to a server. */
interface SentCopy<S, T> {
  readonly server: S;
  readonly sentMs: number;
  /** Undefined while the copy is under way. */
  readonly result: T | undefined;
}

/** State of a request that may be hedged. */
export interface HedgedRequest<R, S, T> {
  readonly number: number;
  readonly request: R;
  readonly offer: HedgeOffer<S>;
  readonly cursor: ChartCursor<HedgedRequestEvent>;
  readonly first: SentCopy<S, T>;
  readonly second: SentCopy<S, T> | undefined;
  readonly reply: HedgeReply<S, T>;
  readonly cancelTimer: Cancel;
}
