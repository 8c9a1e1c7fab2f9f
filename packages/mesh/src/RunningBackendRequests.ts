import { estimateWait } from '#mesh/EstimateWait.js';
import type { RunningBackendRequest } from '#mesh/RunningBackendRequest.js';
import type { ServerLink } from '#mesh/ServerLink.js';

/** The orders that run at a backend server, each on its own connection. Times are monotonic, in milliseconds. */
export class RunningBackendRequests {
  private readonly orders = new Map<string, RunningBackendRequest>();

  public get size(): number {
    return this.orders.size;
  }

  /** Time at which the oldest one was sent; Infinity if none runs. */
  public get oldestMs(): number {
    return Math.min(...this.list().map(({ sentMs }) => sentMs));
  }

  public list(): readonly RunningBackendRequest[] {
    return [...this.orders.values()];
  }

  public add(running: RunningBackendRequest): void {
    this.orders.set(running.order.request.id, running);
  }

  public find(id: string): RunningBackendRequest | undefined {
    return this.orders.get(id);
  }

  public remove(id: string): void {
    this.orders.delete(id);
  }

  /** Removes and returns the order with this id if it runs on this connection. */
  public take(link: ServerLink, id: string): RunningBackendRequest | undefined {
    const found = this.orders.get(id);
    if (found?.link !== link) return undefined;
    this.remove(id);
    return found;
  }

  /** Expected wait of an order with `workAheadMs` of waiting work before it. */
  public waitMs(workAheadMs: number, slots: number, nowMs: number): number {
    return estimateWait(this.list(), workAheadMs, slots, nowMs);
  }
}
