import type { WaitingRequest } from '#admission/WaitingRequest.js';

/** Order in which waiting requests start. A request is in the order from `add` until `remove`. */
export abstract class QueueOrder {
  /** Number of waiting requests. */
  public abstract get size(): number;

  public abstract add(request: WaitingRequest): void;

  /** The request that starts next. */
  public abstract next(): WaitingRequest | undefined;

  public abstract remove(request: WaitingRequest): void;

  /** All waiting requests, in no particular order. */
  public abstract waiting(): Iterable<WaitingRequest>;

  /** Sum of the expected service times, in milliseconds, of the requests that would start before `request`. */
  public abstract workAheadMs(request: WaitingRequest): number;

  /** Notes that a request was started. */
  public abstract started(request: WaitingRequest): void;

  /** Notes that a started request ended after `serviceMs`. */
  public abstract finished(request: WaitingRequest, serviceMs: number): void;
}
