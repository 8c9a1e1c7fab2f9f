import type { ChangesReply } from '#fanout/ChangesReply.js';
import type { ChangesRequest } from '#fanout/ChangesRequest.js';
import type { ReadReport } from '#mesh/ReadReport.js';

/** What this daemon read, calls of followers, and timers that `ChangeFeedTask` handles. */
export type ChangeFeedMessage =
  | ReadReport
  | {
      readonly type: 'asked';
      readonly request: ChangesRequest;
      readonly reply: (reply: ChangesReply) => void;
    }
  /** A waiting call may have to be answered. */
  | { readonly type: 'due'; readonly waiter: number }
  /** The daemon stops: waiting calls are answered, and later ones tell that this daemon reads nothing. */
  | { readonly type: 'ending' };
