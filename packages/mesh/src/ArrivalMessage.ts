import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';

/** Messages of `ArrivalTask`. */
export type ArrivalMessage =
  /** A caller's connection was accepted. */
  | { readonly type: 'accepted' }
  | {
      readonly type: 'arrived';
      readonly exchange: number;
      readonly request: CallerRequest;
      readonly reply: (reply: CallerReply) => void;
    }
  | { readonly type: 'left'; readonly exchange: number }
  /** Time to look whether anything waits to be read. */
  | { readonly type: 'look' }
  /** A turn of the event loop has read the sockets. */
  | { readonly type: 'turn' }
  /** Passes requests on until a monotonic time. */
  | { readonly type: 'work'; readonly untilMs: number };
