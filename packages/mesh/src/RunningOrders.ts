import { estimateWait } from '#mesh/EstimateWait.js';
import type { RunningOrder } from '#mesh/RunningOrder.js';
import type { ServerLink } from '#mesh/ServerLink.js';

/** The orders that run at a backend server, each on its own connection. Times are monotonic, in milliseconds. */
export class RunningOrders {
  private readonly orders = new Map<string, RunningOrder>();

  public get size(): number {
    return this.orders.size;
  }

  /** Time at which the oldest one was sent; Infinity if none runs. */
  public get oldestMs(): number {
    return Math.min(...this.list().map(({ sentMs }) => sentMs));
  }

  public list(): readonly RunningOrder[] {
    return [...this.orders.values()];
  }

  public add(running: RunningOrder): void {
    this.orders.set(running.order.request.id, running);
  }

  public find(id: string): RunningOrder | undefined {
    return this.orders.get(id);
  }

  public remove(id: string): void {
    this.orders.delete(id);
  }

  /** Removes and returns the order with this id if it runs on this connection. */
  public take(link: ServerLink, id: string): RunningOrder | undefined {
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
