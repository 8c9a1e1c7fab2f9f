import { findRow } from '#ranges/FindRow.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import { canEnd } from '#mesh/CanEnd.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { QueuedBackendRequest } from '#mesh/QueuedBackendRequest.js';

type Ranked = Pick<QueuedBackendRequest, 'order' | 'isShort'>;

/** Orders that wait for a slot: short ones first, then by priority, then by due time. */
export class BackendRequestQueue {
  private orders: readonly QueuedBackendRequest[] = [];

  public get size(): number {
    return this.orders.length;
  }

  public add(queued: QueuedBackendRequest): void {
    const position = this.positionOf(queued);
    this.orders = this.orders.toSpliced(position, 0, queued);
  }

  /** Removes and returns the first order that `mayStart` admits. */
  public take(mayStart: (queued: QueuedBackendRequest) => boolean): QueuedBackendRequest | undefined {
    const index = this.orders.findIndex(mayStart);
    if (index < 0) return undefined;
    const found = this.orders[index];
    this.orders = this.orders.toSpliced(index, 1);
    return found;
  }

  /** Whether any order fulfils a condition. */
  public some(condition: (queued: QueuedBackendRequest) => boolean): boolean {
    return this.orders.some(condition);
  }

  /** Removes and returns the order with this id. */
  public remove(id: string): QueuedBackendRequest | undefined {
    return this.take(({ order }) => order.request.id === id);
  }

  /** Removes and returns the orders that could no longer start in time; answers have to be there `returnMs` earlier. */
  public removeLate(slots: number, returnMs: number, nowMs: number): readonly QueuedBackendRequest[] {
    return this.removeHopeless(
      ({ order, serviceMs }, aheadMs) =>
        !canEnd(order, nowMs + aheadMs / Math.max(1, slots) + returnMs, serviceMs),
    );
  }

  /** Removes and returns the orders for keys of the given ranges, which are sorted. */
  public removeKeys(ranges: readonly KeyRange[]): readonly QueuedBackendRequest[] {
    return this.removeHopeless(
      ({ order: { request } }) => request.key !== undefined && findRow(ranges, request.key) !== undefined,
    );
  }

  /** Removes and returns all orders. */
  public removeAll(): readonly QueuedBackendRequest[] {
    return this.removeHopeless(() => true);
  }

  /** Removes and returns all orders that `isHopeless` selects, given the work that waits before each. */
  public removeHopeless(
    isHopeless: (queued: QueuedBackendRequest, workAheadMs: number) => boolean,
  ): readonly QueuedBackendRequest[] {
    let workMs = 0;
    const hopeless = new Set<QueuedBackendRequest>();
    for (const queued of this.orders) {
      if (isHopeless(queued, workMs)) hopeless.add(queued);
      else workMs += queued.serviceMs;
    }
    if (hopeless.size > 0) this.orders = this.orders.filter((queued) => !hopeless.has(queued));
    return [...hopeless];
  }

  /** Work that waits before an order that arrives now, in milliseconds. */
  public workAheadMs(order: BackendRequest, isShort: boolean): number {
    const ahead = this.orders.slice(0, this.positionOf({ order, isShort }));
    return ahead.reduce((sum, { serviceMs }) => sum + serviceMs, 0);
  }

  /** Work of all waiting orders, in milliseconds. */
  public workMs(): number {
    return this.orders.reduce((sum, { serviceMs }) => sum + serviceMs, 0);
  }

  private positionOf(added: Ranked): number {
    const index = this.orders.findIndex((queued) => precedes(added, queued));
    return index < 0 ? this.orders.length : index;
  }
}

function precedes(left: Ranked, right: Ranked): boolean {
  if (left.isShort !== right.isShort) return left.isShort;
  if (left.order.priority !== right.order.priority) return left.order.priority < right.order.priority;
  return left.order.dueMs < right.order.dueMs;
}
