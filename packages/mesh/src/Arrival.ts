import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';

/** A caller's request that has been read but not yet passed on. Times are monotonic, in milliseconds. */
export interface Arrival {
  /** Number of the exchange, unique in this process. */
  readonly exchange: number;
  readonly request: CallerRequest;
  readonly reply: (reply: CallerReply) => void;
  /** Earliest time at which the request may have arrived. */
  readonly earliestMs: number;
  /** Time by which the request has to be passed on; it may be refused afterwards. */
  readonly startByMs: number;
}
