import { Logger } from '#core/Logger.js';
import { RandomSource } from '#core/RandomSource.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import { earlierRetry } from '#overload/EarlierRetry.js';
import type { Route } from '#routes/Route.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import { createBackendRequest } from '#mesh/CreateBackendRequest.js';
import { createEntryRefusal } from '#mesh/CreateEntryRefusal.js';
import { createExchange } from '#mesh/CreateExchange.js';
import { EntryAdmission } from '#mesh/EntryAdmission.js';
import type { MeshExchange } from '#mesh/MeshExchange.js';
import { NearestLeastWait } from './NearestLeastWait.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { EventQueue } from './EventQueue.js';

const MAX_ATTEMPTS = 4;
const MIN_RETRY_MS = 60;
const MAX_RETRY_FRACTION = 0.3;

interface Options {
  readonly region: string;
  readonly seed: number;
  readonly daemons: number;
  /** Whether a request is offered to full servers one after the other, whatever is known of them. */
  readonly isLegacy: boolean;
  readonly servers: (service: string) => readonly ServerEntry[];
  readonly send: (
    request: BackendRequest,
    server: ServerEntry,
    reply: (result: BackendResult) => void,
  ) => void;
  readonly cancel: (id: string, server: ServerEntry) => void;
}

/** An entry daemon without a network: choice of servers, refusals and deadlines as in `EntryTask`. */
export class OverloadEntry {
  private readonly events: EventQueue;
  private readonly options: Options;
  private readonly chooser: NearestLeastWait;
  private readonly admission = new EntryAdmission(new Logger('test'), new MetricsRecorder());
  private readonly open = new Map<number, MeshExchange>();
  private exchanges = 0;

  public constructor(events: EventQueue, options: Options) {
    this.events = events;
    this.options = options;
    const identity = { serverId: '', failureDomain: options.region, region: options.region, service: '' };
    this.chooser = new NearestLeastWait(identity, new RandomSource(options.seed));
  }

  public handle(
    request: CallerRequest,
    route: Route,
    service: string,
    reply: (reply: CallerReply) => void,
  ): void {
    this.exchanges += 1;
    const number = this.exchanges;
    const { nowMs } = this.events;
    const dueMs = request.arrivedMs + (request.deadlineMs ?? 0);
    const origin = this.admission.noteArrival(request, service, route.targetLatencyMs);
    const cancelDue = (): void => undefined;
    this.open.set(
      number,
      createExchange({
        number,
        request,
        route,
        tenant: undefined,
        service,
        ...origin,
        dueMs,
        reply,
        cancelDue,
      }),
    );
    this.events.schedule(dueMs - nowMs, () => this.timeOut(number));
    this.choose(number);
  }

  private choose(number: number): void {
    const exchange = this.open.get(number)!;
    const { nowMs } = this.events;
    const candidates = this.options
      .servers(exchange.service)
      .filter(({ serverId }) => !exchange.tried.has(serverId));
    const decision = this.options.isLegacy
      ? ({ type: 'send', candidates } as const)
      : this.admission.decide(exchange, candidates, this.options.daemons, nowMs);
    if (decision.type === 'refuse') {
      const retryAfterMs = earlierRetry(exchange.retryAfterMs, decision.retryAfterMs);
      this.refuse({ ...exchange, lastRefusal: 'noCapacity', retryAfterMs });
      return;
    }
    const server =
      exchange.offers < MAX_ATTEMPTS ? this.chooser.choose(decision.candidates, nowMs) : undefined;
    if (server === undefined) this.refuse(exchange);
    else this.dispatch(exchange, server);
  }

  private dispatch(exchange: MeshExchange, server: ServerEntry): void {
    const attempt = { number: exchange.offers + 1, server, sentMs: this.events.nowMs, resends: 0 };
    const next = { ...exchange, attempt, offers: attempt.number, copies: exchange.copies + 1 };
    this.open.set(exchange.number, next);
    this.chooser.noteSent(server.serverId);
    this.admission.noteSent(exchange.service, server.serverId);
    this.options.send(createBackendRequest(next, '', ''), server, (result) =>
      this.noteResult(exchange.number, attempt.number, result),
    );
  }

  private noteResult(number: number, attempt: number, result: BackendResult): void {
    const exchange = this.open.get(number);
    const server = exchange?.attempt?.server;
    if (exchange === undefined || server === undefined || exchange.attempt?.number !== attempt) return;
    const { nowMs } = this.events;
    this.chooser.noteResult(server.serverId, result, nowMs);
    this.admission.noteResult(exchange, server.serverId, result, nowMs);
    if (result.type === 'answered') {
      this.finish(exchange, { type: 'answer', response: result.response });
      return;
    }
    if (result.type === 'lost') {
      this.finish(exchange, { type: 'refusal', status: 504, code: result.code, retryAfterMs: 0 });
      return;
    }
    const retryAfterMs = this.options.isLegacy
      ? Math.max(exchange.retryAfterMs, result.retryAfterMs)
      : earlierRetry(exchange.retryAfterMs, result.retryAfterMs);
    const tried = new Set([...exchange.tried, server.serverId]);
    const next = { ...exchange, attempt: undefined, lastRefusal: result.code, retryAfterMs, tried };
    this.open.set(number, next);
    if (result.code === 'tooLate' || result.code === 'displaced') this.refuse(next);
    else this.choose(number);
  }

  private timeOut(number: number): void {
    const exchange = this.open.get(number);
    if (exchange === undefined) return;
    if (exchange.attempt !== undefined) this.options.cancel(exchange.request.id, exchange.attempt.server);
    this.finish(exchange, { type: 'refusal', status: 504, code: 'timeout', retryAfterMs: 0 });
  }

  private refuse(exchange: MeshExchange): void {
    const { nowMs } = this.events;
    const reply = createEntryRefusal(exchange, nowMs);
    const legacyMs = Math.min(
      Math.max(MIN_RETRY_MS, exchange.retryAfterMs),
      Math.max(0, exchange.dueMs - nowMs) * MAX_RETRY_FRACTION,
    );
    this.finish(
      exchange,
      this.options.isLegacy && reply.type === 'refusal' ? { ...reply, retryAfterMs: legacyMs } : reply,
    );
  }

  private finish(exchange: MeshExchange, reply: CallerReply): void {
    this.open.delete(exchange.number);
    const served = reply.type === 'answer' && reply.response.status < 500;
    this.admission.noteEnded(exchange, served ? 'delivered' : 'refused', this.events.nowMs);
    exchange.reply(reply);
  }
}
