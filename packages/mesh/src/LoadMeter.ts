import type { LoadReport } from '#balance/LoadReport.js';
import type { BackendRequestQueue } from '#mesh/BackendRequestQueue.js';
import type { ReportedLoad } from '#mesh/ReportedLoad.js';
import { WindowedMinimum } from '#mesh/WindowedMinimum.js';
import type { RunningBackendRequests } from '#mesh/RunningBackendRequests.js';

/** Time after which a reported slowdown is outdated. */
const SLOWDOWN_VALIDITY_MS = 400;

/**
 * Measures the load of a backend server from its requests and its own reports. Times are monotonic, in
 * milliseconds.
 */
export class LoadMeter {
  private slowdown = 1;
  private slowdownMs = -Infinity;
  private readonly leastSlowdown = new WindowedMinimum();

  /** Notes the load that the backend server reported with a response. */
  public note({ slowdown }: ReportedLoad, nowMs: number): void {
    this.slowdown = slowdown;
    this.slowdownMs = nowMs;
    this.leastSlowdown.note(slowdown, nowMs);
  }

  /** Factor by which work takes longer than usual on its VM when nothing else loads it; 1 if unknown. */
  public get baseSlowdown(): number {
    return this.leastSlowdown.value ?? 1;
  }

  /** Returns the current load. `serviceMs` is the average service time of a request. */
  public report(
    running: RunningBackendRequests,
    queue: BackendRequestQueue,
    slots: number,
    serviceMs: number,
    nowMs: number,
  ): LoadReport {
    const { leastUrgent } = queue;
    return {
      running: running.size,
      queued: queue.size,
      slots,
      waitMs: running.waitMs(queue.workMs(), slots, nowMs),
      serviceMs,
      slowdown: nowMs - this.slowdownMs < SLOWDOWN_VALIDITY_MS ? this.slowdown : 1,
      ...(leastUrgent === undefined ? {} : { leastUrgent }),
    };
  }
}
