import type { Cancel } from '#core/Cancel.js';
import type { Clock } from '#core/Clock.js';
import { scheduleAfterReads } from '#core/ScheduleAfterReads.js';
import type { ResponseHandler } from '#proxy/ResponseHandler.js';

interface RunningRequest {
  readonly handler: ResponseHandler;
  readonly cancelTimer: Cancel;
}

/** The requests that a task has sent, each with a timer that cancels it. Used only by that task. */
export class InFlightRequests {
  private readonly running = new Map<string, RunningRequest>();

  public constructor(private readonly clock: Clock) {}

  /** Adds a request, which is cancelled after `timeoutMs`. */
  public add(orderId: string, handler: ResponseHandler, timeoutMs: number): void {
    const cancelTimer = scheduleAfterReads(this.clock, timeoutMs, () => handler.cancel());
    this.running.set(orderId, { handler, cancelTimer });
  }

  /** Cancels a request. */
  public cancel(orderId: string): void {
    this.running.get(orderId)?.handler.cancel();
  }

  /** Removes a request that ended and cancels its timer. */
  public end(orderId: string): void {
    this.running.get(orderId)?.cancelTimer();
    this.running.delete(orderId);
  }
}
