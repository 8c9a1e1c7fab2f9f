import { RetryBudget } from '#balance/RetryBudget.js';
import { ChartCursor } from '#chart/ChartCursor.js';
import { Task } from '#core/Task.js';
import type { Outcome } from '#delivery/Outcome.js';
import { SplitChooser } from '#routes/SplitChooser.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import { createBackendRequest } from '#mesh/CreateBackendRequest.js';
import type { EntryMessage } from '#mesh/EntryMessage.js';
import type { EntryOptions } from '#mesh/EntryOptions.js';
import { meshExchangeChart } from '#mesh/MeshExchangeChart.js';
import { findRangeOwner } from '#mesh/FindRangeOwner.js';
import { findOwnerWait } from '#mesh/FindOwnerWait.js';
import type { MeshExchange } from '#mesh/MeshExchange.js';
import type { DispatchAttempt } from '#mesh/DispatchAttempt.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';
import { RequestRecorder } from '#mesh/RequestRecorder.js';
import { returnMs } from '#mesh/ReturnMs.js';
import { ServerDirectory } from '#mesh/ServerDirectory.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Time of a route's timeout that is kept so that the answer is not late, in milliseconds. */
const TIMEOUT_MARGIN_MS = 5;

/** Deadline of requests that name none, in milliseconds. */
const DEFAULT_DEADLINE_MS = 30_000;

/** Time after which a caller without any configuration may come back, in milliseconds. */
const NO_ROUTES_RETRY_MS = 300;

/** Time after which a caller of a daemon that ends may come back, in milliseconds. */
const STOPPING_RETRY_MS = 400;

/** Servers that may refuse a request before its caller is refused. */
const MAX_OFFERS = 4;

/** Times that an offer whose session was lost is continued at the same daemon. */
const MAX_RESUMES = 3;

/** Part of the time left after which a refused caller may come back at the latest. */
const RETRY_PART = 0.3;
const LEAST_RETRY_MS = 60;

/** Refusals after which no other server is asked. */
const ENDING: ReadonlySet<RefusalCode> = new Set(['quarantined', 'tooLate', 'notGranted']);

const NOT_FOUND = 404;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

type Loss = BackendResult & { readonly type: 'lost' };

/** Decides what happens to each caller's request at the daemon that it reached. Owns the exchanges. */
export class EntryTask extends Task<EntryMessage> {
  private readonly options: EntryOptions;
  private readonly exchanges = new Map<number, MeshExchange>();
  private readonly splits = new SplitChooser();
  private readonly retries: RetryBudget;
  private stopping = false;
  private readonly recorder: RequestRecorder;
  private readonly directory: ServerDirectory;

  public constructor(options: EntryOptions) {
    super();
    this.options = options;
    this.directory = new ServerDirectory(options.place.serverId);
    this.recorder = new RequestRecorder(options.logger, options.metrics);
    this.retries = new RetryBudget(options.retryFraction, options.retryMinimum);
  }

  /** Number of requests without a final answer. */
  public get load(): number {
    return this.exchanges.size;
  }

  protected override receive(message: EntryMessage): void {
    switch (message.type) {
      case 'arrived':
        this.open(message);
        return;
      case 'left':
        this.noteLeft(message.exchange);
        return;
      case 'result':
        this.noteResult(message.exchange, message.offer, message.result);
        return;
      case 'due':
        this.noteDue(message.exchange);
        return;
      case 'waited':
        this.resumeWaiting(message.exchange, 'retried');
        return;
      case 'view':
        this.noteView(message.view);
        return;
      case 'stopping':
        this.stopping = true;
        return;
      case 'reach':
        this.directory.noteReach(message.address, message.reachable, message.untilMs);
    }
  }

  private open({ exchange, request, reply }: EntryMessage & { readonly type: 'arrived' }): void {
    const { routes, complete } = this.directory.view;
    if (this.stopping) {
      reply({ type: 'refusal', status: UNAVAILABLE, code: 'stopping', retryAfterMs: STOPPING_RETRY_MS });
      return;
    }
    if (routes === undefined || !complete) {
      reply({
        type: 'refusal',
        status: UNAVAILABLE,
        code: 'noConfiguration',
        retryAfterMs: NO_ROUTES_RETRY_MS,
      });
      return;
    }
    const route = routes.find(request.host, request.target);
    const service = route === undefined ? undefined : this.splits.choose(route);
    if (route === undefined || service === undefined) {
      this.options.logger.log('noRoute', {
        step: 'route',
        id: request.id,
        host: request.host,
        version: routes.table.version,
      });
      reply({ type: 'refusal', status: NOT_FOUND, code: 'noRoute', retryAfterMs: 0 });
      return;
    }
    const nowMs = this.now();
    this.retries.noteRequest(service, '', nowMs);
    const deadlineMs = request.arrivedMs + (request.deadlineMs ?? DEFAULT_DEADLINE_MS) - returnMs;
    const dueMs = Math.min(deadlineMs, request.arrivedMs + route.timeoutMs - TIMEOUT_MARGIN_MS);
    const cancelDue = this.options.clock.schedule(dueMs - nowMs, () => this.post({ type: 'due', exchange }));
    this.exchanges.set(exchange, {
      number: exchange,
      request,
      route,
      service,
      dueMs,
      cursor: new ChartCursor(meshExchangeChart),
      reply,
      cancelDue,
      cancelWait: () => undefined,
      offer: undefined,
      offers: 0,
      copies: 0,
      arrivals: 0,
      tried: new Set(),
      mayHaveRun: false,
      failure: undefined,
      lastRefusal: undefined,
      retryAfterMs: 0,
      waitingMs: undefined,
      tableRevision: 0,
    });
    this.choose(exchange);
  }

  private choose(number: number): void {
    const exchange = this.exchanges.get(number);
    if (exchange === undefined) return;
    if (this.directory.isKeyed(exchange.service)) this.chooseOwner(exchange);
    else this.chooseServer(exchange);
  }

  private chooseServer(exchange: MeshExchange): void {
    const { route, service, tried } = exchange;
    const candidates = this.directory.listOpen(route, service, tried, this.now());
    const server =
      exchange.offers < MAX_OFFERS ? this.options.chooser.choose(candidates, this.now()) : undefined;
    if (server === undefined) this.refuse(exchange);
    else this.offer(exchange, server, 0);
  }

  private chooseOwner(exchange: MeshExchange): void {
    const { request, route, service } = exchange;
    const server =
      request.key === undefined
        ? undefined
        : findRangeOwner(this.directory.view, route, service, request.key);
    const revision = this.directory.view.tables.get(service)?.revision ?? 0;
    const mayAsk =
      server !== undefined &&
      this.directory.isReachable(server, this.now()) &&
      (server.state === 'ready' || server.state === 'draining' || server.state === 'gone') &&
      (!exchange.tried.has(server.serverId) || revision > exchange.tableRevision);
    if (mayAsk && exchange.offers < MAX_OFFERS)
      this.offer({ ...exchange, tableRevision: revision }, server, 0);
    else this.waitForOwner(exchange);
  }

  /** Waits a while for the keys to reach their next owner. */
  private waitForOwner(exchange: MeshExchange): void {
    const nowMs = this.now();
    const { sinceMs, untilMs, retryMs } = findOwnerWait(exchange, nowMs);
    if (exchange.offers >= MAX_OFFERS || nowMs >= untilMs || exchange.request.key === undefined) {
      this.refuse(exchange);
      return;
    }
    exchange.cursor.send({ type: 'waited' });
    const cancelWait = this.options.clock.schedule(retryMs, () =>
      this.post({ type: 'waited', exchange: exchange.number }),
    );
    this.exchanges.set(exchange.number, { ...exchange, waitingMs: sinceMs, cancelWait });
  }

  private resumeWaiting(number: number, type: 'viewChanged' | 'retried'): void {
    const exchange = this.exchanges.get(number);
    if (exchange?.cursor.send({ type }) !== true) return;
    exchange.cancelWait();
    // The owner may have received its keys meanwhile, so it is asked again.
    this.exchanges.set(number, { ...exchange, tried: new Set(), offers: Math.min(exchange.offers, 1) });
    this.choose(number);
  }

  private offer(exchange: MeshExchange, server: ServerEntry, resumed: number): void {
    const offer = { number: exchange.offers + 1, server, sentMs: this.now(), resumed };
    exchange.cursor.send({ type: 'offered' });
    const next = { ...exchange, offer, offers: offer.number, copies: exchange.copies + 1 };
    this.exchanges.set(exchange.number, next);
    const order = createBackendRequest(next, this.options.place.service, resumed > 0 ? server.processId : '');
    this.options.chooser.noteSent(server.serverId);
    this.options.send(order, server, (result) =>
      this.post({ type: 'result', exchange: exchange.number, offer: offer.number, result }),
    );
  }

  private noteResult(number: number, offerNumber: number, result: BackendResult): void {
    const exchange = this.exchanges.get(number);
    const offer = exchange?.offer;
    if (exchange === undefined || offer?.number !== offerNumber) return;
    this.options.chooser.noteResult(offer.server.serverId, result, this.now());
    const arrived = result.type !== 'refused' || result.arrived;
    const next = {
      ...exchange,
      offer: undefined,
      arrivals: exchange.arrivals + (arrived ? 1 : 0),
      tried: new Set([...exchange.tried, offer.server.serverId]),
    };
    this.exchanges.set(number, next);
    if (result.type === 'answered') this.noteAnswer(next, result);
    else if (result.type === 'refused' && !leavesOpen(result, offer)) this.noteRefused(next, result);
    else this.noteLost(next, asLoss(result), offer.server, offer.resumed);
  }

  private noteAnswer(exchange: MeshExchange, result: BackendResult & { readonly type: 'answered' }): void {
    const { answer } = result;
    if (answer.status >= 500 && answer.status !== GATEWAY_TIMEOUT && this.mayRunAgain(exchange)) {
      exchange.cursor.send({ type: 'lost' });
      this.exchanges.set(exchange.number, { ...exchange, mayHaveRun: true, failure: answer });
      this.choose(exchange.number);
      return;
    }
    this.finish(exchange, { type: 'answer', answer }, 'delivered');
  }

  private noteRefused(exchange: MeshExchange, result: BackendResult & { readonly type: 'refused' }): void {
    exchange.cursor.send({ type: 'refused' });
    const retryAfterMs = Math.max(exchange.retryAfterMs, result.retryAfterMs);
    const next = { ...exchange, lastRefusal: result.code, retryAfterMs };
    this.exchanges.set(exchange.number, next);
    if (ENDING.has(result.code) || this.isOwnerFull(next)) this.refuse(next);
    else if (result.arrived && !this.spendRetry(next)) this.refuse(next);
    else this.choose(exchange.number);
  }

  /** Whether the only server that may run the request has no room: asking it again would only hold the caller. */
  private isOwnerFull({ service, lastRefusal }: MeshExchange): boolean {
    return lastRefusal === 'full' && this.directory.isKeyed(service);
  }

  private noteLost(exchange: MeshExchange, result: Loss, server: ServerEntry, resumed: number): void {
    exchange.cursor.send({ type: 'lost' });
    if (result.code === 'peerLost' && resumed < MAX_RESUMES) {
      this.offer({ ...exchange, arrivals: exchange.arrivals - 1 }, server, resumed + 1);
      return;
    }
    if (this.mayRunAgain(exchange)) {
      this.exchanges.set(exchange.number, { ...exchange, mayHaveRun: true });
      this.choose(exchange.number);
      return;
    }
    const status = result.code === 'timeout' ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    this.finish(exchange, { type: 'refusal', status, code: result.code, retryAfterMs: 0 }, 'unknown');
  }

  /** Whether a request that may have run can be sent to another server; takes it from the budget. */
  private mayRunAgain(exchange: MeshExchange): boolean {
    if (!exchange.route.idempotent || exchange.arrivals >= exchange.route.maxAttempts) return false;
    if (exchange.dueMs - this.now() < LEAST_RETRY_MS) return false;
    if (!this.directory.isKeyed(exchange.service) && !this.hasOther(exchange)) return false;
    return this.spendRetry(exchange);
  }

  private spendRetry({ service, arrivals, route }: MeshExchange): boolean {
    return arrivals < route.maxAttempts && this.retries.spend(service, '', this.now());
  }

  private hasOther({ route, service, tried }: MeshExchange): boolean {
    return this.directory.listOpen(route, service, tried, this.now()).length > 0;
  }

  /** Ends a request whose last offer was refused, or that was never offered. */
  private refuse(exchange: MeshExchange): void {
    if (exchange.failure !== undefined) {
      this.finish(exchange, { type: 'answer', answer: exchange.failure }, 'failed');
      return;
    }
    if (exchange.mayHaveRun) {
      this.finish(
        exchange,
        { type: 'refusal', status: BAD_GATEWAY, code: 'lost', retryAfterMs: 0 },
        'failed',
      );
      return;
    }
    const leftMs = exchange.dueMs - this.now();
    const retryAfterMs = Math.min(
      Math.max(LEAST_RETRY_MS, exchange.retryAfterMs),
      Math.max(0, leftMs * RETRY_PART),
    );
    const code = exchange.lastRefusal ?? 'noServer';
    this.finish(exchange, { type: 'refusal', status: UNAVAILABLE, code, retryAfterMs }, 'refused');
  }

  private noteDue(number: number): void {
    const exchange = this.exchanges.get(number);
    if (exchange === undefined) return;
    if (exchange.offer === undefined) {
      this.refuse(exchange);
      return;
    }
    this.options.cancel(exchange.request.id, exchange.offer.server);
    this.finish(
      exchange,
      { type: 'refusal', status: GATEWAY_TIMEOUT, code: 'timeout', retryAfterMs: 0 },
      'unknown',
    );
  }

  private noteLeft(number: number): void {
    const exchange = this.exchanges.get(number);
    if (exchange === undefined) return;
    exchange.cursor.send({ type: 'left' });
    if (exchange.offer !== undefined) this.options.cancel(exchange.request.id, exchange.offer.server);
    this.close(exchange, 'abandoned', 'left');
  }

  private finish(
    exchange: MeshExchange,
    reply: CallerReply,
    outcome: 'delivered' | 'refused' | 'failed' | 'unknown',
  ): void {
    exchange.cursor.send({ type: 'ended' });
    exchange.reply(reply);
    const late =
      outcome === 'delivered' && this.now() - exchange.request.arrivedMs > exchange.route.targetLatencyMs;
    this.close(
      exchange,
      late ? 'late' : outcome,
      reply.type === 'answer' ? String(reply.answer.status) : reply.code,
    );
  }

  private close(exchange: MeshExchange, outcome: Outcome, detail: string): void {
    exchange.cancelDue();
    exchange.cancelWait();
    this.exchanges.delete(exchange.number);
    const version = this.directory.view.routes?.table.version;
    this.recorder.record(exchange, outcome, detail, version, this.now());
  }

  private noteView(view: MeshView): void {
    const before = this.directory.view;
    this.directory.update(view);
    this.options.chooser.retain(new Set(view.servers.keys()));
    if (view.routes !== undefined && view.routes !== before.routes)
      this.splits.retain(view.routes.table.routes);
    if (view.tables === before.tables && view.servers === before.servers) return;
    for (const exchange of this.exchanges.values()) this.resumeWaiting(exchange.number, 'viewChanged');
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}

/** Whether a refusal says nothing of an earlier send: the daemon that received the order could not be asked. */
function leavesOpen(
  { code }: BackendResult & { readonly type: 'refused' },
  { resumed }: DispatchAttempt,
): boolean {
  return resumed > 0 && code === 'unreachable';
}

function asLoss(result: BackendResult & { readonly type: 'refused' | 'lost' }): Loss {
  return result.type === 'lost' ? result : { type: 'lost', code: 'peerLost', load: undefined };
}
