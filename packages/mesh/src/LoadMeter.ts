import type { LoadReport } from '#mesh/LoadReport.js';
import type { BackendRequestQueue } from '#mesh/BackendRequestQueue.js';
import type { ReportedLoad } from '#mesh/ReportedLoad.js';
import { WindowedMinimum } from '#mesh/WindowedMinimum.js';
import type { RunningBackendRequests } from '#mesh/RunningBackendRequests.js';

/** A reported slowdown says something for this long, in milliseconds. */
const SLOWDOWN_KEEP_MS = 400;

/** Describes the load of a backend server from its orders and its own reports. Times are monotonic. */
export class LoadMeter {
  private slowdown = 1;
  private slowdownMs = -Infinity;
  private readonly least = new WindowedMinimum();

  /** Notes what the backend server reported with an answer. */
  public note({ slowdown }: ReportedLoad, nowMs: number): void {
    this.slowdown = slowdown;
    this.slowdownMs = nowMs;
    this.least.note(slowdown, nowMs);
  }

  /** Factor by which work takes longer on that VM when nothing disturbs it; 1 if that is not known. */
  public get baseSlowdown(): number {
    return this.least.value ?? 1;
  }

  /** `serviceMs` is the average time of an order. */
  public report(
    running: RunningBackendRequests,
    queue: BackendRequestQueue,
    slots: number,
    serviceMs: number,
    nowMs: number,
  ): LoadReport {
    return {
      running: running.size,
      queued: queue.size,
      slots,
      waitMs: running.waitMs(queue.workMs(), slots, nowMs),
      serviceMs,
      slowdown: nowMs - this.slowdownMs < SLOWDOWN_KEEP_MS ? this.slowdown : 1,
    };
  }
}
