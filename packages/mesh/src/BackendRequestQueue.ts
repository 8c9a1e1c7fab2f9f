import { compareUrgency } from '#overload/CompareUrgency.js';
import { findRow } from '#ranges/FindRow.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import { canEnd } from '#mesh/CanEnd.js';
import type { QueuedBackendRequest } from '#mesh/QueuedBackendRequest.js';

/** Requests that wait for a slot, in their order, by default that of `compareUrgency`. Times are monotonic, in milliseconds. */
export class BackendRequestQueue {
  private readonly isOwed: (kind: string) => boolean;
  private readonly compare: typeof compareUrgency;
  private queued: readonly QueuedBackendRequest[] = [];

  /** `isOwed` tells whether a kind of request is below its minimum share. */
  public constructor(isOwed: (kind: string) => boolean, compare = compareUrgency) {
    this.isOwed = isOwed;
    this.compare = compare;
  }

  public get size(): number {
    return this.queued.length;
  }

  /** Priority of the least urgent request that another one may displace; undefined if there is none. */
  public get leastUrgent(): number | undefined {
    const priorities = this.queued
      .filter(({ isShort, kind }) => !isShort && !this.isOwed(kind))
      .map(({ request }) => request.priority);
    return priorities.length === 0 ? undefined : Math.max(...priorities);
  }

  /** Lists all requests in order. */
  public list(): readonly QueuedBackendRequest[] {
    return this.queued;
  }

  /** Restores the order, which changes as time passes. */
  public sort(nowMs: number): void {
    if (this.queued.length < 2) return;
    this.queued = this.queued.toSorted((left, right) => this.compare(left, right, this.isOwed, nowMs));
  }

  public add(queued: QueuedBackendRequest, nowMs: number): void {
    const position = this.positionOf(queued, nowMs);
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
   * Removes and returns the requests that can no longer end `marginMs` before they are due, the time reserved for
   * returning the result. `waitMs` is the expected time until a request gets a slot behind an amount of work.
   */
  public removeLate(
    waitMs: (queued: QueuedBackendRequest, workAheadMs: number) => number,
    marginMs: number,
    nowMs: number,
  ): readonly QueuedBackendRequest[] {
    return this.removeMatching(
      (queued, aheadMs) =>
        !canEnd(queued.request, nowMs + waitMs(queued, aheadMs) + marginMs, queued.serviceMs),
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
  public workAheadMs(queued: QueuedBackendRequest, nowMs: number): number {
    const ahead = this.queued.slice(0, this.positionOf(queued, nowMs));
    return ahead.reduce((sum, { serviceMs }) => sum + serviceMs, 0);
  }

  /** Work of all queued requests, in milliseconds. */
  public workMs(): number {
    return this.queued.reduce((sum, { serviceMs }) => sum + serviceMs, 0);
  }

  private positionOf(added: QueuedBackendRequest, nowMs: number): number {
    const index = this.queued.findIndex((queued) => this.compare(added, queued, this.isOwed, nowMs) < 0);
    return index < 0 ? this.queued.length : index;
  }
}
