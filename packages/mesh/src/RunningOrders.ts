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

  /** Removes and returns the order that runs on a connection. */
  public take(link: ServerLink): RunningOrder | undefined {
    const found = this.list().find((each) => each.link === link);
    if (found !== undefined) this.remove(found.order.request.id);
    return found;
  }

  /** Expected wait of an order with `workAheadMs` of waiting work before it. */
  public waitMs(workAheadMs: number, slots: number, nowMs: number): number {
    return estimateWait(this.list(), workAheadMs, slots, nowMs);
  }
}
