import { findRow } from '#ranges/FindRow.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import { canEnd } from '#mesh/CanEnd.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { QueuedBackendRequest } from '#mesh/QueuedBackendRequest.js';

type Ranked = Pick<QueuedBackendRequest, 'request' | 'isShort'>;

/** Requests that wait for a slot: short ones first, then by priority, then by deadline. */
export class BackendRequestQueue {
  private queued: readonly QueuedBackendRequest[] = [];

  public get size(): number {
    return this.queued.length;
  }

  public add(queued: QueuedBackendRequest): void {
    const position = this.positionOf(queued);
    this.queued = this.queued.toSpliced(position, 0, queued);
  }

  /** Removes and returns the first request that `mayStart` admits. */
  public take(mayStart: (queued: QueuedBackendRequest) => boolean): QueuedBackendRequest | undefined {
    const index = this.queued.findIndex(mayStart);
    if (index < 0) return undefined;
    const found = this.queued[index];
    this.queued = this.queued.toSpliced(index, 1);
    return found;
  }

  /** Whether any request fulfils a condition. */
  public some(condition: (queued: QueuedBackendRequest) => boolean): boolean {
    return this.queued.some(condition);
  }

  /** Removes and returns the request with this id. */
  public remove(id: string): QueuedBackendRequest | undefined {
    return this.take(({ request }) => request.callerRequest.id === id);
  }

  /**
   * Removes and returns the requests that can no longer end `relayMarginMs` before they are due, the time reserved for
   * returning the response.
   */
  public removeLate(slots: number, relayMarginMs: number, nowMs: number): readonly QueuedBackendRequest[] {
    return this.removeMatching(
      ({ request, serviceMs }, aheadMs) =>
        !canEnd(request, nowMs + aheadMs / Math.max(1, slots) + relayMarginMs, serviceMs),
    );
  }

  /** Removes and returns the requests for keys of `ranges`, which must be sorted. */
  public removeKeys(ranges: readonly KeyRange[]): readonly QueuedBackendRequest[] {
    return this.removeMatching(
      ({ request: { callerRequest } }) =>
        callerRequest.key !== undefined && findRow(ranges, callerRequest.key) !== undefined,
    );
  }

  /** Removes and returns all requests. */
  public removeAll(): readonly QueuedBackendRequest[] {
    return this.removeMatching(() => true);
  }

  /**
   * Removes and returns the requests that the predicate selects, given the work queued before each, in
   * milliseconds.
   */
  public removeMatching(
    matches: (queued: QueuedBackendRequest, workAheadMs: number) => boolean,
  ): readonly QueuedBackendRequest[] {
    let workMs = 0;
    const removed = new Set<QueuedBackendRequest>();
    for (const queued of this.queued) {
      if (matches(queued, workMs)) removed.add(queued);
      else workMs += queued.serviceMs;
    }
    if (removed.size > 0) this.queued = this.queued.filter((queued) => !removed.has(queued));
    return [...removed];
  }

  /** Work that is queued before a request that arrives now, in milliseconds. */
  public workAheadMs(request: BackendRequest, isShort: boolean): number {
    const ahead = this.queued.slice(0, this.positionOf({ request, isShort }));
    return ahead.reduce((sum, { serviceMs }) => sum + serviceMs, 0);
  }

  /** Work of all queued requests, in milliseconds. */
  public workMs(): number {
    return this.queued.reduce((sum, { serviceMs }) => sum + serviceMs, 0);
  }

  private positionOf(added: Ranked): number {
    const index = this.queued.findIndex((queued) => precedes(added, queued));
    return index < 0 ? this.queued.length : index;
  }
}

function precedes(left: Ranked, right: Ranked): boolean {
  if (left.isShort !== right.isShort) return left.isShort;
  if (left.request.priority !== right.request.priority) return left.request.priority < right.request.priority;
  return left.request.dueMs < right.request.dueMs;
}
