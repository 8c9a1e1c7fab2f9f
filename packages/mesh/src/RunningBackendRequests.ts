import { estimateWait } from '#mesh/EstimateWait.js';
import type { RunningBackendRequest } from '#mesh/RunningBackendRequest.js';
import type { ServerLink } from '#mesh/ServerLink.js';

/** The requests that run at a backend server, each on its own connection. Times are monotonic, in milliseconds. */
export class RunningBackendRequests {
  private readonly requests = new Map<string, RunningBackendRequest>();

  public get size(): number {
    return this.requests.size;
  }

  /** Time at which the oldest running request was sent; Infinity if there is none. */
  public get oldestMs(): number {
    return Math.min(...this.list().map(({ sentMs }) => sentMs));
  }

  public list(): readonly RunningBackendRequest[] {
    return [...this.requests.values()];
  }

  public add(running: RunningBackendRequest): void {
    this.requests.set(running.request.callerRequest.id, running);
  }

  public find(id: string): RunningBackendRequest | undefined {
    return this.requests.get(id);
  }

  public remove(id: string): void {
    this.requests.delete(id);
  }

  /** Removes and returns the request with this id if it runs on this connection. */
  public take(link: ServerLink, id: string): RunningBackendRequest | undefined {
    const found = this.requests.get(id);
    if (found?.link !== link) return undefined;
    this.remove(id);
    return found;
  }

  /** Expected wait of a request that is queued behind `workAheadMs` of work. */
  public waitMs(workAheadMs: number, slots: number, nowMs: number): number {
    return estimateWait(this.list(), workAheadMs, slots, nowMs);
  }
}
