import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';

/** A request that was read and waits until the work on it begins. Times are monotonic, in milliseconds. */
export interface Arrival {
  /** Number of its exchange. */
  readonly exchange: number;
  readonly request: CallerRequest;
  readonly reply: (reply: CallerReply) => void;
  /** Time at which it may have arrived at the earliest. */
  readonly earliestMs: number;
  /** Time until which work on it has to begin. */
  readonly untilMs: number;
}
