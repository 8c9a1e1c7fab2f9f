import type { Cancel } from '#core/Cancel.js';
import type { Clock } from '#core/Clock.js';
import type { ResponseHandler } from '#proxy/ResponseHandler.js';

interface RunningOrder {
  readonly handler: ResponseHandler;
  readonly cancelTimer: Cancel;
}

/** Orders that a task has sent, each with the timer that gives it up. Used by that task alone. */
export class InFlightRequests {
  private readonly running = new Map<string, RunningOrder>();

  public constructor(private readonly clock: Clock) {}

  /** Adds an order; its answer is given up after `timeoutMs`. */
  public add(orderId: string, handler: ResponseHandler, timeoutMs: number): void {
    const cancelTimer = this.clock.schedule(timeoutMs, () => handler.cancel());
    this.running.set(orderId, { handler, cancelTimer });
  }

  /** Gives up the answer of an order. */
  public cancel(orderId: string): void {
    this.running.get(orderId)?.handler.cancel();
  }

  /** Removes an order that ended. */
  public end(orderId: string): void {
    this.running.get(orderId)?.cancelTimer();
    this.running.delete(orderId);
  }
}
