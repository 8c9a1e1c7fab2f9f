import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import { drainChart } from '#admission/DrainChart.js';
import type { DrainEvent } from '#admission/DrainEvent.js';
import type { QueuedRequest } from '#admission/QueuedRequest.js';
import type { QueueDiscipline } from '#admission/QueueDiscipline.js';
import type { QueueResult } from '#admission/QueueResult.js';
import { ServiceTimeEstimator } from '#admission/ServiceTimeEstimator.js';
import type { WaitingRequest } from '#admission/WaitingRequest.js';

/** Least service time that is expected of any request. */
const MIN_SERVICE_MS = 0.1;

interface RunningRequest {
  readonly request: WaitingRequest;
  readonly startedMs: number;
}

/**
 * Queue for one backend server. At most `limit` requests run; up to `maxWaiting` others wait, in the order of a queue
 * discipline. A request that is not expected to finish by its deadline is refused as not run: on arrival, when it would
 * start, or by `expire`. Times are monotonic, in milliseconds.
 */
export class BackendQueue {
  private readonly discipline: QueueDiscipline;
  private readonly maxWaiting: number;
  private readonly serviceTimes = new ServiceTimeEstimator();
  private readonly running = new Map<string, RunningRequest>();
  private readonly waitingById = new Map<string, WaitingRequest>();
  private drainState: ChartSnapshot<undefined> = { value: drainChart.initial, context: undefined };
  private limit: number;
  /** Before this time no waiting request has to be refused as late. */
  private nextExpiryMs = Infinity;

  public constructor(discipline: QueueDiscipline, limit: number, maxWaiting: number) {
    this.discipline = discipline;
    this.limit = limit;
    this.maxWaiting = maxWaiting;
  }

  /** Number of running requests. */
  public get runningCount(): number {
    return this.running.size;
  }

  /** Number of waiting requests. */
  public get waitingCount(): number {
    return this.discipline.size;
  }

  /** State of the drain chart: `serving`, `draining` or `drained`. */
  public get state(): string {
    return this.drainState.value;
  }

  /** Sets how many requests may run at once (see `SlowStart`). A lower limit does not interrupt running requests. */
  public setLimit(limit: number, nowMs: number): readonly QueueResult[] {
    this.limit = limit;
    return this.startNext(nowMs);
  }

  /** Starts, queues or refuses a request. If the result does not contain the request, it waits. */
  public arrive(request: QueuedRequest, nowMs: number): readonly QueueResult[] {
    if (this.state !== 'serving') return [refuse(request.id, 'draining', 503, undefined)];
    const waiting = { ...request, expectedMs: this.serviceTimes.estimateMs(request.class, nowMs) };
    if (this.startsAtOnce(waiting, nowMs)) return [this.start(waiting, nowMs)];
    const lateMs = this.expectedFinishMs(waiting, nowMs) - request.deadlineMs;
    if (lateMs > 0) return [refuseLate(request.id, lateMs)];
    this.discipline.add(waiting);
    this.waitingById.set(request.id, waiting);
    this.nextExpiryMs = Math.min(this.nextExpiryMs, latestStartMs(waiting));
    const results = this.startNext(nowMs);
    return this.discipline.size > this.maxWaiting ? [...results, ...this.refuseLast()] : results;
  }

  /** Notes the end of a running request. `measured` is false if its duration must not count as a service time. */
  public finish(id: string, nowMs: number, measured = true): readonly QueueResult[] {
    const ended = this.running.get(id);
    if (ended === undefined) return [];
    this.running.delete(id);
    const serviceMs = nowMs - ended.startedMs;
    if (measured) this.serviceTimes.add(ended.request.class, serviceMs, nowMs);
    this.discipline.noteFinished(ended.request, serviceMs);
    if (this.running.size === 0) this.advanceDrain('emptied');
    return this.startNext(nowMs);
  }

  /** Removes a waiting request, for example if its caller has left. Returns whether it was waiting. */
  public cancel(id: string): boolean {
    const request = this.waitingById.get(id);
    if (request === undefined) return false;
    this.removeWaiting(request);
    return true;
  }

  /** Refuses the waiting requests that can no longer finish by their deadlines; to be called every few milliseconds. */
  public expire(nowMs: number): readonly QueueResult[] {
    if (nowMs <= this.nextExpiryMs) return this.startNext(nowMs);
    const waiting = this.discipline.waiting();
    const late = waiting.filter((request) => isLate(request, nowMs));
    this.nextExpiryMs = waiting.reduce(
      (least, request) => (isLate(request, nowMs) ? least : Math.min(least, latestStartMs(request))),
      Infinity,
    );
    const refused = late.map((request) => this.refuseWaiting(request));
    return [...refused, ...this.startNext(nowMs)];
  }

  /** Refuses all waiting requests and all that arrive until `resume`; running requests complete. */
  public drain(): readonly QueueResult[] {
    this.advanceDrain('drain');
    const waiting = this.discipline.waiting();
    for (const request of waiting) this.removeWaiting(request);
    if (this.running.size === 0) this.advanceDrain('emptied');
    return waiting.map(({ id }) => refuse(id, 'draining', 503, undefined));
  }

  /** Accepts requests again after a drain. */
  public resume(): void {
    this.advanceDrain('resume');
  }

  /** Returns the time at which a request that arrives now is expected to finish. */
  public expectedFinishMs(request: WaitingRequest, nowMs: number): number {
    if (this.discipline.size === 0 && this.canStart(request)) return nowMs + request.expectedMs;
    const slots = Math.max(1, this.limit);
    const remaining = Array.from(this.running.values(), (running) => remainingMs(running, nowMs));
    const alone = request.exclusive || this.runsExclusive();
    // An exclusive request waits for the longest of the running requests, any other one for the next free slot.
    const runningMs = alone ? Math.max(0, ...remaining) : remaining.reduce((sum, ms) => sum + ms, 0) / slots;
    return nowMs + runningMs + this.discipline.workAheadMs(request) / slots + request.expectedMs;
  }

  private startsAtOnce(request: WaitingRequest, nowMs: number): boolean {
    if (this.discipline.size > 0 || !this.canStart(request)) return false;
    // If nothing runs, the estimate could stay too high for ever, so the request runs as a trial and is measured.
    return this.running.size === 0 ? nowMs < request.deadlineMs : !isLate(request, nowMs);
  }

  private startNext(nowMs: number): readonly QueueResult[] {
    const results: QueueResult[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
    for (let next = this.discipline.next(); next !== undefined; next = this.discipline.next()) {
      const late = isLate(next, nowMs);
      if (!late && !this.canStart(next)) break;
      results.push(late ? this.refuseWaiting(next) : this.start(next, nowMs));
    }
    return results;
  }

  /** Refuses the request that would start last, so that a flood from one team displaces only requests of that team. */
  private refuseLast(): readonly QueueResult[] {
    const last = this.discipline.last();
    return last === undefined ? [] : [this.refuseWaiting(last)];
  }

  private refuseWaiting(request: WaitingRequest): QueueResult {
    this.removeWaiting(request);
    return refuseLate(request.id, request.expectedMs);
  }

  private start(request: WaitingRequest, nowMs: number): QueueResult {
    this.discipline.start(request);
    this.waitingById.delete(request.id);
    this.running.set(request.id, { request, startedMs: nowMs });
    return { kind: 'start', id: request.id };
  }

  /**
   * Returns whether a slot is free. An exclusive request starts only while no other runs, and none starts beside it.
   */
  private canStart(request: WaitingRequest): boolean {
    if (this.running.size === 0) return this.limit >= 1;
    if (request.exclusive || this.running.size >= this.limit) return false;
    return !this.runsExclusive();
  }

  private runsExclusive(): boolean {
    const [first] = this.running.values();
    return first?.request.exclusive === true;
  }

  private removeWaiting(request: WaitingRequest): void {
    this.discipline.remove(request);
    this.waitingById.delete(request.id);
  }

  private advanceDrain(type: DrainEvent['type']): void {
    this.drainState = advanceChart(drainChart, this.drainState, { type }).snapshot;
  }
}

/** Returns the latest time at which a request may start to meet its deadline; without a measurement, just before it. */
function latestStartMs(request: WaitingRequest): number {
  return request.deadlineMs - Math.max(request.expectedMs, MIN_SERVICE_MS);
}

function remainingMs({ request, startedMs }: RunningRequest, nowMs: number): number {
  return Math.max(0, startedMs + request.expectedMs - nowMs);
}

function isLate(request: WaitingRequest, nowMs: number): boolean {
  return nowMs > latestStartMs(request);
}

function refuseLate(id: string, retryAfterMs: number): QueueResult {
  return refuse(id, 'deadlineUnreachable', 503, Math.max(1, Math.ceil(retryAfterMs)));
}

function refuse(id: string, code: string, status: number, retryAfterMs: number | undefined): QueueResult {
  const error = { code, step: 'queue', peer: '', ran: 'not run', status } as const;
  return { kind: 'refuse', id, error: retryAfterMs === undefined ? error : { ...error, retryAfterMs } };
}
