import type { Cancel } from '#core/Cancel.js';
import { Task } from '#core/Task.js';
import { AcceptWatch } from '#mesh/AcceptWatch.js';
import type { Arrival } from '#mesh/Arrival.js';
import type { ArrivalMessage } from '#mesh/ArrivalMessage.js';
import type { ArrivalOptions } from '#mesh/ArrivalOptions.js';
import { ArrivalQueue } from '#mesh/ArrivalQueue.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import { DropReport } from '#mesh/DropReport.js';
import { estimateArrival } from '#mesh/EstimateArrival.js';

/** Time for which connections are accepted and read at most before work goes on, in milliseconds. */
const MAX_READ_MS = 20;

/** Time for which work on requests is begun before sockets are read again, in milliseconds. */
const MAX_WORK_MS = 20;

/** Part of the time that a caller waits after which a request is refused if no work on it has begun. */
const WAIT_PART = 0.25;

/** The same in any case, in milliseconds. */
const MAX_WAIT_MS = 250;

const UNAVAILABLE = 503;

const MICROS_PER_MS = 1_000;

/**
 * Decides when the work on a caller's request begins: after the connections that wait were accepted and read, so that those
 * whose callers have left cost no work. Owns the requests that were read and on which no work has begun.
 */
export class ArrivalTask extends Task<ArrivalMessage> {
  private readonly options: ArrivalOptions;
  private readonly arrivals = new ArrivalQueue();
  private readonly accepts: AcceptWatch;
  private readonly drops: DropReport;
  /** Time since which work waits for connections to be accepted; undefined if none waits. */
  private readingMs: number | undefined;
  private cancelTurn: Cancel | undefined;
  private cancelLook: Cancel | undefined;

  public constructor(options: ArrivalOptions) {
    super();
    this.options = options;
    this.accepts = new AcceptWatch(this.now());
    this.drops = new DropReport(options.logger, options.clock, options.metrics);
  }

  /** Number of requests on which no work has begun. */
  public get load(): number {
    return this.arrivals.size;
  }

  /** Begins to follow the delay of reading. */
  public start(): void {
    this.post({ type: 'look' });
  }

  public override stop(): void {
    super.stop();
    this.cancelTurn?.();
    this.cancelLook?.();
    this.drops.stop();
  }

  protected override receive(message: ArrivalMessage): void {
    switch (message.type) {
      case 'accepted':
        this.accepts.noteAccepted();
        return;
      case 'arrived':
        this.add(message);
        return;
      case 'left':
        this.noteLeft(message.exchange);
        return;
      case 'look':
        this.look();
        return;
      case 'turn':
        this.endTurn();
        return;
      case 'work':
        this.work(message.untilMs);
    }
  }

  private add({ exchange, request, reply }: ArrivalMessage & { readonly type: 'arrived' }): void {
    const nowMs = this.now();
    const { arrivedMs: readMs, deadlineMs } = request;
    const earliestMs = Math.min(readMs, nowMs - this.accepts.lagMs(nowMs));
    const arrivedMs = estimateArrival(readMs, earliestMs, deadlineMs);
    const untilMs = nowMs + waitLimitMs(request);
    this.arrivals.add({ exchange, request: { ...request, arrivedMs }, reply, earliestMs, untilMs });
    this.scheduleTurn();
  }

  private noteLeft(exchange: number): void {
    const arrival = this.arrivals.remove(exchange);
    if (arrival === undefined) {
      this.options.onLeft(exchange);
      return;
    }
    this.drops.noteLeft(this.noteDelay(arrival));
  }

  /** Looks whether anything waits to be read, so that a later delay is known to have begun after now. */
  private look(): void {
    this.accepts.startTurn(this.now());
    this.scheduleTurn();
    this.cancelLook = this.options.clock.schedule(this.accepts.lookMs, () => this.post({ type: 'look' }));
  }

  private endTurn(): void {
    this.cancelTurn = undefined;
    const nowMs = this.now();
    this.arrivals.endTurn();
    const isDrained = this.accepts.endTurn();
    this.accepts.startTurn(nowMs);
    const readingMs = this.readingMs ?? nowMs;
    const readsOn = this.arrivals.size > 0 && !isDrained && nowMs - readingMs < MAX_READ_MS;
    this.readingMs = readsOn ? readingMs : undefined;
    if (readsOn) this.scheduleTurn();
    else this.work(nowMs + MAX_WORK_MS);
  }

  /** Passes one request on. The tasks that work on it run before the next one is passed on. */
  private work(untilMs: number): void {
    const nowMs = this.now();
    const arrival = nowMs < untilMs ? this.arrivals.takeNewest() : undefined;
    if (arrival === undefined) {
      this.endWork(nowMs);
      return;
    }
    this.noteDelay(arrival);
    this.options.onRequest(arrival.exchange, arrival.request, arrival.reply);
    this.post({ type: 'work', untilMs });
  }

  /** Refuses late requests only now, as there may have been time for all of them after a stall of the process. */
  private endWork(nowMs: number): void {
    for (const arrival of this.arrivals.removeLate(nowMs)) this.refuse(arrival);
    if (this.arrivals.size > 0) this.scheduleTurn();
  }

  private refuse(arrival: Arrival): void {
    this.drops.noteRefused(this.noteDelay(arrival));
    const retryAfterMs = waitLimitMs(arrival.request);
    arrival.reply({ type: 'refusal', status: UNAVAILABLE, code: 'busy', retryAfterMs });
  }

  /** Records and returns the time for which a request may have waited. */
  private noteDelay({ earliestMs }: Arrival): number {
    const delayMs = this.now() - earliestMs;
    this.options.delays.record(delayMs * MICROS_PER_MS);
    return delayMs;
  }

  /** Has the next end of a turn noted: of this one if it reads sockets now, otherwise of the one that follows. */
  private scheduleTurn(): void {
    if (this.cancelTurn !== undefined) return;
    const immediate = setImmediate(() => this.post({ type: 'turn' }));
    this.cancelTurn = () => clearImmediate(immediate);
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}

/** How long a request may wait until work on it begins, and how long its caller is to stay away after a refusal. */
function waitLimitMs({ deadlineMs }: CallerRequest): number {
  return Math.min(MAX_WAIT_MS, (deadlineMs ?? Infinity) * WAIT_PART);
}
