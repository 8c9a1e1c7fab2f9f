import type { Cancel } from '#core/Cancel.js';
import { Task } from '#core/Task.js';
import { AcceptWatch } from '#mesh/AcceptWatch.js';
import type { Arrival } from '#mesh/Arrival.js';
import type { ArrivalMessage } from '#mesh/ArrivalMessage.js';
import type { ArrivalOptions } from '#mesh/ArrivalOptions.js';
import { ArrivalQueue } from '#mesh/ArrivalQueue.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';

/** Time for which connections are accepted and read at most before work goes on, in milliseconds. */
const MAX_READ_MS = 20;

/** Time for which work on requests is begun before sockets are read again, in milliseconds. */
const MAX_WORK_MS = 20;

/** Part of the time that a caller waits after which a request is refused if no work on it has begun. */
const WAIT_PART = 0.25;

/** The same in any case, in milliseconds. */
const MAX_WAIT_MS = 250;

const UNAVAILABLE = 503;

/**
 * Decides when the work on a caller's request begins: after the connections that wait were accepted and read, so that those
 * whose callers have left cost no work. Owns the requests that were read and on which no work has begun.
 */
export class ArrivalTask extends Task<ArrivalMessage> {
  private readonly options: ArrivalOptions;
  private readonly arrivals = new ArrivalQueue();
  private readonly accepts = new AcceptWatch();
  /** Time since which work waits for connections to be accepted; undefined if none waits. */
  private readingMs: number | undefined;
  private cancelTurn: Cancel | undefined;

  public constructor(options: ArrivalOptions) {
    super();
    this.options = options;
  }

  /** Number of requests on which no work has begun. */
  public get load(): number {
    return this.arrivals.size;
  }

  public override stop(): void {
    super.stop();
    this.cancelTurn?.();
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
      case 'turn':
        this.endTurn();
        return;
      case 'work':
        this.work(message.untilMs);
    }
  }

  private add({ exchange, request, reply }: ArrivalMessage & { readonly type: 'arrived' }): void {
    this.arrivals.add({ exchange, request, reply, untilMs: this.now() + waitLimitMs(request) });
    this.scheduleTurn();
  }

  private noteLeft(exchange: number): void {
    if (this.arrivals.remove(exchange) === undefined) this.options.onLeft(exchange);
  }

  private endTurn(): void {
    this.cancelTurn = undefined;
    const nowMs = this.now();
    this.arrivals.endTurn();
    const isDrained = this.accepts.endTurn();
    this.accepts.startTurn();
    const readingMs = this.readingMs ?? nowMs;
    const readsOn = this.arrivals.size > 0 && !isDrained && nowMs - readingMs < MAX_READ_MS;
    this.readingMs = readsOn ? readingMs : undefined;
    if (readsOn) this.scheduleTurn();
    else this.startWork(nowMs);
  }

  private startWork(nowMs: number): void {
    for (const arrival of this.arrivals.removeLate(nowMs)) this.refuse(arrival);
    this.work(nowMs + MAX_WORK_MS);
  }

  /** Passes one request on. The tasks that work on it run before the next one is passed on. */
  private work(untilMs: number): void {
    const arrival = this.now() < untilMs ? this.arrivals.takeNewest() : undefined;
    if (arrival !== undefined) {
      this.options.onRequest(arrival.exchange, arrival.request, arrival.reply);
      this.post({ type: 'work', untilMs });
    } else if (this.arrivals.size > 0) {
      this.scheduleTurn();
    }
  }

  private refuse({ request, reply }: Arrival): void {
    const retryAfterMs = waitLimitMs(request);
    reply({ type: 'refusal', status: UNAVAILABLE, code: 'busy', retryAfterMs });
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
