import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';

/** Events of callers' connections, and timers of `ArrivalTask`. */
export type ArrivalMessage =
  /** A connection of a caller was accepted. */
  | { readonly type: 'accepted' }
  | {
      readonly type: 'arrived';
      readonly exchange: number;
      readonly request: CallerRequest;
      readonly reply: (reply: CallerReply) => void;
    }
  /** The caller closed its connection. */
  | { readonly type: 'left'; readonly exchange: number }
  /** Periodic check for connections and data that wait to be read. */
  | { readonly type: 'look' }
  /** An iteration of the event loop has read the sockets. */
  | { readonly type: 'turn' }
  /** Passes one request on, and the next ones until `untilMs` (monotonic, in milliseconds). */
  | { readonly type: 'work'; readonly untilMs: number };
