import type { Cancel } from '#core/Cancel.js';
import { Task } from '#core/Task.js';
import { AcceptMonitor } from '#mesh/AcceptMonitor.js';
import type { Arrival } from '#mesh/Arrival.js';
import type { ArrivalMessage } from '#mesh/ArrivalMessage.js';
import type { ArrivalOptions } from '#mesh/ArrivalOptions.js';
import { ArrivalQueue } from '#mesh/ArrivalQueue.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import { DropReport } from '#mesh/DropReport.js';
import { estimateArrival } from '#mesh/EstimateArrival.js';

/** Longest time for which connections are accepted and read before requests are processed again. */
const MAX_READ_MS = 20;

/** Time for which requests are passed on before sockets are read again. */
const MAX_WORK_MS = 20;

/** A request is refused after waiting for this fraction of its caller's deadline. */
const MAX_WAIT_FRACTION = 0.25;

/** Upper bound of that wait, for long deadlines and for callers that name none. */
const MAX_WAIT_MS = 250;

const UNAVAILABLE = 503;

const MICROS_PER_MS = 1_000;

/**
 * Decides when a caller's request is processed: only after the waiting connections have been accepted and read, so that
 * requests whose callers have already closed their connections cost no work. Owns the requests that were read and not
 * yet passed on.
 */
export class ArrivalTask extends Task<ArrivalMessage> {
  private readonly options: ArrivalOptions;
  private readonly arrivals = new ArrivalQueue();
  private readonly acceptMonitor: AcceptMonitor;
  private readonly drops: DropReport;
  /** Time since which processing waits for connections to be accepted; undefined if it does not wait. */
  private readingSinceMs: number | undefined;
  private cancelTurn: Cancel | undefined;
  private cancelCheck: Cancel | undefined;

  public constructor(options: ArrivalOptions) {
    super();
    this.options = options;
    this.acceptMonitor = new AcceptMonitor(this.now());
    this.drops = new DropReport(options.logger, options.clock, options.metrics);
  }

  /** Number of requests that wait to be processed. */
  public get load(): number {
    return this.arrivals.size;
  }

  /** Starts measuring how long data waits to be read. */
  public start(): void {
    this.post({ type: 'look' });
  }

  public override stop(): void {
    super.stop();
    this.cancelTurn?.();
    this.cancelCheck?.();
    this.drops.stop();
  }

  protected override receive(message: ArrivalMessage): void {
    switch (message.type) {
      case 'accepted':
        this.acceptMonitor.noteAccepted();
        return;
      case 'arrived':
        this.add(message);
        return;
      case 'left':
        this.noteLeft(message.exchange);
        return;
      case 'look':
        this.checkSockets();
        return;
      case 'turn':
        this.endTurn();
        return;
      case 'work':
        this.passNext(message.untilMs);
    }
  }

  private add({ exchange, request, reply }: ArrivalMessage & { readonly type: 'arrived' }): void {
    const nowMs = this.now();
    const { arrivedMs: readMs, deadlineMs } = request;
    const earliestMs = Math.min(readMs, nowMs - this.acceptMonitor.lagMs(nowMs));
    const arrivedMs = estimateArrival(readMs, earliestMs, deadlineMs);
    const startByMs = nowMs + waitLimitMs(request);
    this.arrivals.add({
      exchange,
      request: { ...request, arrivedMs },
      reply,
      earliestMs,
      startByMs,
    });
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

  /** Checks for unread data, so that a later delay is known to have begun after now. */
  private checkSockets(): void {
    this.acceptMonitor.startTurn(this.now());
    this.scheduleTurn();
    this.cancelCheck = this.options.clock.schedule(this.acceptMonitor.checkIntervalMs, () =>
      this.post({ type: 'look' }),
    );
  }

  private endTurn(): void {
    this.cancelTurn = undefined;
    const nowMs = this.now();
    this.arrivals.endTurn();
    const isDrained = this.acceptMonitor.endTurn();
    this.acceptMonitor.startTurn(nowMs);
    const readingMs = this.readingSinceMs ?? nowMs;
    const keepsReading = this.arrivals.size > 0 && !isDrained && nowMs - readingMs < MAX_READ_MS;
    this.readingSinceMs = keepsReading ? readingMs : undefined;
    if (keepsReading) this.scheduleTurn();
    else this.passNext(nowMs + MAX_WORK_MS);
  }

  /**
   * Passes one request on and posts a message for the next one, so that other tasks handle their messages in
   * between.
   */
  private passNext(untilMs: number): void {
    const nowMs = this.now();
    const arrival = nowMs < untilMs ? this.arrivals.takeNewest() : undefined;
    if (arrival === undefined) {
      this.refuseLate(nowMs);
      return;
    }
    this.noteDelay(arrival);
    this.options.onRequest(arrival.exchange, arrival.request, arrival.reply);
    this.post({ type: 'work', untilMs });
  }

  /**
   * Refuses late requests only after processing: after a stall of the process there may be time for all of
   * them.
   */
  private refuseLate(nowMs: number): void {
    for (const arrival of this.arrivals.removeLate(nowMs)) this.refuse(arrival);
    if (this.arrivals.size > 0) this.scheduleTurn();
  }

  private refuse(arrival: Arrival): void {
    this.drops.noteRefused(this.noteDelay(arrival));
    const retryAfterMs = waitLimitMs(arrival.request);
    arrival.reply({ type: 'refusal', status: UNAVAILABLE, code: 'busy', retryAfterMs });
  }

  /** Records and returns the longest time that a request may have waited. */
  private noteDelay({ earliestMs }: Arrival): number {
    const delayMs = this.now() - earliestMs;
    this.options.delays.record(delayMs * MICROS_PER_MS);
    return delayMs;
  }

  /**
   * Posts `turn` after sockets were next read: in this iteration of the event loop if it still reads them,
   * otherwise in the next one.
   */
  private scheduleTurn(): void {
    if (this.cancelTurn !== undefined) return;
    const immediate = setImmediate(() => this.post({ type: 'turn' }));
    this.cancelTurn = () => clearImmediate(immediate);
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}

/** Longest wait of a request before it is processed, which is also the `Retry-After` time if it is refused. */
function waitLimitMs({ deadlineMs }: CallerRequest): number {
  return Math.min(MAX_WAIT_MS, (deadlineMs ?? Infinity) * MAX_WAIT_FRACTION);
}
