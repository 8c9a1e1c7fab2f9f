import type { WaitingRequest } from '#admission/WaitingRequest.js';

/** Order in which waiting requests start. A request is in the order from `add` until `start` or `remove`. */
export abstract class QueueDiscipline {
  /** Number of waiting requests. */
  public abstract get size(): number;

  public abstract add(request: WaitingRequest): void;

  /** The request that starts next. */
  public abstract next(): WaitingRequest | undefined;

  /** The request that starts last, and is given up when too many wait. */
  public abstract last(): WaitingRequest | undefined;

  /** Notes the start of a request, and removes it if it was waiting. */
  public abstract start(request: WaitingRequest): void;

  /** Removes a request that does not start. */
  public abstract remove(request: WaitingRequest): void;

  /** All waiting requests, in no particular order. */
  public abstract waiting(): readonly WaitingRequest[];

  /** Sum of the expected service times, in milliseconds, of the requests that would start before `request`. */
  public abstract workAheadMs(request: WaitingRequest): number;

  /** Notes that a started request ended after `serviceMs`. */
  public abstract noteFinished(request: WaitingRequest, serviceMs: number): void;
}
