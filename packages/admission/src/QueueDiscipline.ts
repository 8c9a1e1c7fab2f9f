import type { WaitingRequest } from '#admission/WaitingRequest.js';

/** Determines the order in which waiting requests start. A request waits from `add` until `start` or `remove`. */
export abstract class QueueDiscipline {
  /** Number of waiting requests. */
  public abstract get size(): number;

  public abstract add(request: WaitingRequest): void;

  /** Returns the request that starts next. */
  public abstract next(): WaitingRequest | undefined;

  /** Returns the request that would start last, which is refused if the queue is full. */
  public abstract last(): WaitingRequest | undefined;

  /** Notes the start of a request, and removes it if it was waiting. A request may also start without waiting. */
  public abstract start(request: WaitingRequest): void;

  /** Removes a request that does not start. */
  public abstract remove(request: WaitingRequest): void;

  /** Returns all waiting requests, in no particular order. */
  public abstract waiting(): readonly WaitingRequest[];

  /**
   * Returns the sum of the expected service times, in milliseconds, of the requests that would start before `request`.
   */
  public abstract workAheadMs(request: WaitingRequest): number;

  /** Notes that a started request ended after `serviceMs`. */
  public abstract noteFinished(request: WaitingRequest, serviceMs: number): void;
}
