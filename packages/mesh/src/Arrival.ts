import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';

/** A request that was read and waits until the work on it begins. */
export interface Arrival {
  /** Number of its exchange. */
  readonly exchange: number;
  readonly request: CallerRequest;
  readonly reply: (reply: CallerReply) => void;
  /** Monotonic time until which work on it has to begin, in milliseconds. */
  readonly untilMs: number;
}
