import type { BackendRequest } from '#mesh/BackendRequest.js';

/** Weight of a new measurement. */
const WEIGHT = 0.08;

/** Assumed time of the first orders of a kind, in milliseconds. */
const FIRST_MS = 40;

/** Average time that the backend server takes, for each kind of order. */
export class ServiceTimesByKind {
  private readonly averages = new Map<string, number>();
  private all = FIRST_MS;

  public add(order: BackendRequest, serviceMs: number): void {
    const kind = kindOf(order);
    const before = this.averages.get(kind);
    this.averages.set(kind, before === undefined ? serviceMs : before + WEIGHT * (serviceMs - before));
    this.all += WEIGHT * (serviceMs - this.all);
  }

  /** Expected time of an order, in milliseconds. */
  public estimateMs(order: BackendRequest): number {
    return this.averages.get(kindOf(order)) ?? this.all;
  }

  /** Average over all orders, in milliseconds. */
  public get meanMs(): number {
    return this.all;
  }
}

function kindOf(order: BackendRequest): string {
  return `${order.priority} ${order.targetLatencyMs}`;
}
