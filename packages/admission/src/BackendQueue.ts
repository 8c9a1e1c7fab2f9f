import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import { drainChart } from '#admission/DrainChart.js';
import type { DrainEvent } from '#admission/DrainEvent.js';
import type { QueuedRequest } from '#admission/QueuedRequest.js';
import type { QueueDiscipline } from '#admission/QueueDiscipline.js';
import type { QueueResult } from '#admission/QueueResult.js';
import { ServiceTimeEstimator } from '#admission/ServiceTimeEstimator.js';
import type { WaitingRequest } from '#admission/WaitingRequest.js';

/** Least time that a request is expected to take, in milliseconds. */
const MIN_SERVICE_MS = 0.1;

interface Running {
  readonly request: WaitingRequest;
  readonly startedMs: number;
}

/**
 * Admission to one backend server. At most `limit` requests run; the others wait in the order of a `QueueOrder`, at most
 * `maxWaiting` of them. A request that is not expected to finish by its deadline is refused as not run: at its arrival,
 * at its turn, or by `expire`. Times are monotonic, in milliseconds.
 */
export class BackendQueue {
  private readonly order: QueueDiscipline;
  private readonly maxWaiting: number;
  private readonly times = new ServiceTimeEstimator();
  private readonly running = new Map<string, Running>();
  private readonly waitingById = new Map<string, WaitingRequest>();
  private drainState: ChartSnapshot<undefined> = { value: drainChart.initial, context: undefined };
  private limit: number;
  /** No waiting request becomes late before this time. */
  private nextLateMs = Infinity;

  public constructor(order: QueueDiscipline, limit: number, maxWaiting: number) {
    this.order = order;
    this.limit = limit;
    this.maxWaiting = maxWaiting;
  }

  /** Number of requests that run. */
  public get runningCount(): number {
    return this.running.size;
  }

  /** Number of requests that wait. */
  public get waitingCount(): number {
    return this.order.size;
  }

  /** State of the drain chart: `serving`, `draining` or `drained`. */
  public get state(): string {
    return this.drainState.value;
  }

  /** Sets how many requests may run (see `SlowStart`). Running requests above a lower limit are not interrupted. */
  public setLimit(limit: number, nowMs: number): readonly QueueResult[] {
    this.limit = limit;
    return this.startNext(nowMs);
  }

  /** Starts, queues or refuses a request. An empty result means that it waits. */
  public arrive(request: QueuedRequest, nowMs: number): readonly QueueResult[] {
    if (this.state !== 'serving') return [refuse(request.id, 'draining', 503, undefined)];
    const waiting = { ...request, expectedMs: this.times.estimateMs(request.class, nowMs) };
    if (this.startsAtOnce(waiting, nowMs)) return [this.start(waiting, nowMs)];
    const lateMs = this.expectedFinishMs(waiting, nowMs) - request.deadlineMs;
    if (lateMs > 0) return [refuseLate(request.id, lateMs)];
    this.order.add(waiting);
    this.waitingById.set(request.id, waiting);
    this.nextLateMs = Math.min(this.nextLateMs, lateAfterMs(waiting));
    const results = this.startNext(nowMs);
    return this.order.size > this.maxWaiting ? [...results, ...this.dropLast()] : results;
  }

  /** Ends a running request. `measured` is false if its duration says nothing about the service time. */
  public finish(id: string, nowMs: number, measured = true): readonly QueueResult[] {
    const ended = this.running.get(id);
    if (ended === undefined) return [];
    this.running.delete(id);
    const serviceMs = nowMs - ended.startedMs;
    if (measured) this.times.add(ended.request.class, serviceMs, nowMs);
    this.order.noteFinished(ended.request, serviceMs);
    if (this.running.size === 0) this.advanceDrain('emptied');
    return this.startNext(nowMs);
  }

  /** Removes a waiting request whose caller has left. Returns whether it was waiting. */
  public cancel(id: string): boolean {
    const request = this.waitingById.get(id);
    if (request === undefined) return false;
    this.leave(request);
    return true;
  }

  /** Refuses the waiting requests that can no longer finish in time; called every few milliseconds. */
  public expire(nowMs: number): readonly QueueResult[] {
    if (nowMs <= this.nextLateMs) return this.startNext(nowMs);
    const waiting = this.order.waiting();
    const late = waiting.filter((request) => isLate(request, nowMs));
    this.nextLateMs = waiting.reduce(
      (least, request) => (isLate(request, nowMs) ? least : Math.min(least, lateAfterMs(request))),
      Infinity,
    );
    const refused = late.map((request) => this.giveUp(request));
    return [...refused, ...this.startNext(nowMs)];
  }

  /** Refuses everything that waits and everything that arrives from now on; what runs completes. */
  public drain(): readonly QueueResult[] {
    this.advanceDrain('drain');
    const waiting = this.order.waiting();
    for (const request of waiting) this.leave(request);
    if (this.running.size === 0) this.advanceDrain('emptied');
    return waiting.map(({ id }) => refuse(id, 'draining', 503, undefined));
  }

  /** Accepts requests again after a drain. */
  public resume(): void {
    this.advanceDrain('resume');
  }

  /** Time at which a request that arrives now is expected to finish. */
  public expectedFinishMs(request: WaitingRequest, nowMs: number): number {
    if (this.order.size === 0 && this.canStart(request)) return nowMs + request.expectedMs;
    const slots = Math.max(1, this.limit);
    const remaining = Array.from(this.running.values(), (running) => remainingMs(running, nowMs));
    const alone = request.exclusive || this.runsExclusive();
    // A request that waits for all that run waits for the longest of them, and otherwise for the next free slot.
    const runningMs = alone ? Math.max(0, ...remaining) : remaining.reduce((sum, ms) => sum + ms, 0) / slots;
    return nowMs + runningMs + this.order.workAheadMs(request) / slots + request.expectedMs;
  }

  private startsAtOnce(request: WaitingRequest, nowMs: number): boolean {
    if (this.order.size > 0 || !this.canStart(request)) return false;
    // With nothing running there would never be a newer measurement, so the request runs as a trial.
    return this.running.size === 0 ? nowMs < request.deadlineMs : !isLate(request, nowMs);
  }

  private startNext(nowMs: number): readonly QueueResult[] {
    const results: QueueResult[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
    for (let next = this.order.next(); next !== undefined; next = this.order.next()) {
      const late = isLate(next, nowMs);
      if (!late && !this.canStart(next)) break;
      results.push(late ? this.giveUp(next) : this.start(next, nowMs));
    }
    return results;
  }

  /** Refuses the request that would start last, so that a flood of one team displaces only itself. */
  private dropLast(): readonly QueueResult[] {
    const last = this.order.last();
    return last === undefined ? [] : [this.giveUp(last)];
  }

  private giveUp(request: WaitingRequest): QueueResult {
    this.leave(request);
    return refuseLate(request.id, request.expectedMs);
  }

  private start(request: WaitingRequest, nowMs: number): QueueResult {
    this.order.start(request);
    this.waitingById.delete(request.id);
    this.running.set(request.id, { request, startedMs: nowMs });
    return { kind: 'start', id: request.id };
  }

  /** An exclusive request starts only alone, and nothing starts beside it. */
  private canStart(request: WaitingRequest): boolean {
    if (this.running.size === 0) return this.limit >= 1;
    if (request.exclusive || this.running.size >= this.limit) return false;
    return !this.runsExclusive();
  }

  private runsExclusive(): boolean {
    const [first] = this.running.values();
    return first?.request.exclusive === true;
  }

  private leave(request: WaitingRequest): void {
    this.order.remove(request);
    this.waitingById.delete(request.id);
  }

  private advanceDrain(type: DrainEvent['type']): void {
    this.drainState = advanceChart(drainChart, this.drainState, { type }).snapshot;
  }
}

/** Latest time at which a request may start. Without a measured service time it still has to start in time. */
function lateAfterMs(request: WaitingRequest): number {
  return request.deadlineMs - Math.max(request.expectedMs, MIN_SERVICE_MS);
}

function remainingMs({ request, startedMs }: Running, nowMs: number): number {
  return Math.max(0, startedMs + request.expectedMs - nowMs);
}

function isLate(request: WaitingRequest, nowMs: number): boolean {
  return nowMs > lateAfterMs(request);
}

function refuseLate(id: string, retryAfterMs: number): QueueResult {
  return refuse(id, 'deadlineUnreachable', 503, Math.max(1, Math.ceil(retryAfterMs)));
}

function refuse(id: string, code: string, status: number, retryAfterMs: number | undefined): QueueResult {
  const error = { code, step: 'queue', peer: '', ran: 'not run', status } as const;
  return { kind: 'refuse', id, error: retryAfterMs === undefined ? error : { ...error, retryAfterMs } };
}
