import type { HedgeOffer } from '#hedging/HedgeOffer.js';
import type { HedgeReply } from '#hedging/HedgeReply.js';

/** Requests, results and timers that `HedgeTask` handles. */
export type HedgeMessage<R, S, T> =
  | {
      readonly type: 'send';
      readonly request: R;
      readonly server: S;
      readonly offer: HedgeOffer<S>;
      readonly reply: HedgeReply<S, T>;
    }
  /** A request is slower than usual for its kind. */
  | { readonly type: 'due'; readonly number: number }
  | {
      readonly type: 'result';
      readonly number: number;
      readonly copy: 'first' | 'second';
      readonly result: T;
    }
  /** The request with this id that was sent to this server first is no longer needed. */
  | { readonly type: 'cancel'; readonly id: string; readonly server: S }
  /** The backend servers that may get new requests. */
  | { readonly type: 'servers'; readonly serverIds: ReadonlySet<string> }
  /** The daemon shuts down: no further copies are sent. */
  | { readonly type: 'stopping' };
