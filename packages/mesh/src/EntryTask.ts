import { RetryBudget } from '#balance/RetryBudget.js';
import { scheduleAfterReads } from '#core/ScheduleAfterReads.js';
import { Task } from '#core/Task.js';
import type { Outcome } from '#delivery/Outcome.js';
import type { SecondCopy } from '#hedging/SecondCopy.js';
import type { EntryDecision } from '#overload/EntryDecision.js';
import { earlierRetry } from '#overload/EarlierRetry.js';
import { SplitChooser } from '#routes/SplitChooser.js';
import { isLimited } from '#tenants/IsLimited.js';
import type { CallerRefusal } from '#mesh/CallerRefusal.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import { computeDueMs } from '#mesh/ComputeDueMs.js';
import { createBackendRequest } from '#mesh/CreateBackendRequest.js';
import { createEntryRefusal } from '#mesh/CreateEntryRefusal.js';
import { createHedgeOffer } from '#mesh/CreateHedgeOffer.js';
import { createExchange } from '#mesh/CreateExchange.js';
import { EntryAdmission } from '#mesh/EntryAdmission.js';
import type { EntryMessage } from '#mesh/EntryMessage.js';
import type { EntryOptions } from '#mesh/EntryOptions.js';
import { findRangeOwner } from '#mesh/FindRangeOwner.js';
import { findNextOwnerDelay } from '#mesh/FindNextOwnerDelay.js';
import { findOwnerWait } from '#mesh/FindOwnerWait.js';
import type { MeshExchange } from '#mesh/MeshExchange.js';
import type { DispatchAttempt } from '#mesh/DispatchAttempt.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';
import { RequestRecorder } from '#mesh/RequestRecorder.js';
import { ServerDirectory } from '#mesh/ServerDirectory.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { MeshView } from '#mesh/MeshView.js';

/** `Retry-After` time while the daemon has no configuration. */
const NO_ROUTES_RETRY_MS = 300;

/** `Retry-After` time while the daemon shuts down. */
const STOPPING_RETRY_MS = 400;

/** Number of attempts after which a request is refused. */
const MAX_ATTEMPTS = 4;

/** Number of times an attempt whose session was lost is resent to the same daemon. */
const MAX_RESENDS = 3;

/** Least time before the deadline that a retry needs. */
const MIN_RETRY_MS = 60;

/** Refusals after which no other server is tried. */
const FINAL_REFUSALS: ReadonlySet<RefusalCode> = new Set([
  'quarantined',
  'tooLate',
  'notGranted',
  'displaced',
]);

const NOT_FOUND = 404;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

const CANCELLED: BackendResult = { type: 'lost', code: 'cancelled', load: undefined };

type Loss = BackendResult & { readonly type: 'lost' };

/**
 * Dispatches callers' requests at the daemon that received them: chooses backend servers, retries, and replies.
 * Owns the exchanges.
 */
export class EntryTask extends Task<EntryMessage> {
  private readonly options: EntryOptions;
  private readonly exchanges = new Map<number, MeshExchange>();
  private readonly splits = new SplitChooser();
  private readonly retries: RetryBudget;
  private readonly admission: EntryAdmission;
  private stopping = false;
  /** Latest deadline of a new request: monotonic time, in milliseconds. */
  private lastDueMs = Infinity;
  private readonly recorder: RequestRecorder;
  private readonly directory: ServerDirectory;

  public constructor(options: EntryOptions) {
    super();
    this.options = options;
    this.directory = new ServerDirectory(options.identity.serverId);
    this.recorder = new RequestRecorder(options.logger, options.metrics);
    this.admission = new EntryAdmission(options.logger, options.metrics);
    this.retries = new RetryBudget(options.retryFraction, options.retryMinimum);
  }

  /** Number of requests without a final reply. */
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
      case 'admitted':
        this.noteAdmission(message.exchange, message.refusal);
        return;
      case 'result':
        this.noteResult(message);
        return;
      case 'due':
        this.endUnfinished(message.exchange, 'timeout');
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
      case 'leaving':
        this.lastDueMs = message.untilMs;
        return;
      case 'ending':
        for (const { number } of this.exchanges.values()) this.endUnfinished(number, 'stopping');
        return;
      case 'reach':
        this.directory.noteReachability(message.address, message.reachable, message.untilMs);
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
    const access = this.options.tenants.check(request, route, routes.table);
    if (access.type === 'refused') {
      reply(access.reply);
      return;
    }
    const nowMs = this.now();
    const dueMs = Math.min(computeDueMs(request, route), this.lastDueMs);
    const { clock } = this.options;
    const cancelDue = scheduleAfterReads(clock, dueMs - nowMs, () => this.post({ type: 'due', exchange }));
    const { tenant } = access;
    const origin = this.admission.noteArrival(access.request, service, route.targetLatencyMs);
    this.exchanges.set(
      exchange,
      createExchange({
        number: exchange,
        request: access.request,
        route: access.route,
        tenant,
        service,
        ...origin,
        dueMs,
        reply,
        cancelDue,
      }),
    );
    if (!isLimited(tenant)) this.noteAdmission(exchange, undefined);
    else
      this.options.tenants.admit(tenant, request.id, (refusal) =>
        this.post({ type: 'admitted', exchange, refusal }),
      );
  }

  private noteAdmission(number: number, refusal: CallerRefusal | undefined): void {
    const exchange = this.exchanges.get(number);
    if (exchange === undefined) return;
    if (refusal !== undefined) {
      this.finish(exchange, refusal, 'refused');
      return;
    }
    this.retries.noteRequest(exchange.service, '', this.now());
    this.choose(number);
  }

  private choose(number: number): void {
    const exchange = this.exchanges.get(number);
    if (exchange === undefined) return;
    if (this.directory.isKeyed(exchange.service)) this.chooseOwner(exchange);
    else this.chooseServer(exchange);
  }

  private chooseServer(exchange: MeshExchange): void {
    const { route, service, tried } = exchange;
    const candidates = this.directory.listUntriedCandidates(route, service, tried, this.now());
    const decision = this.decideEntry(exchange, candidates);
    if (decision.type === 'refuse') {
      this.refuseForCapacity(exchange, decision.retryAfterMs);
      return;
    }
    const server =
      exchange.offers < MAX_ATTEMPTS
        ? this.options.chooser.choose(decision.candidates, this.now())
        : undefined;
    if (server === undefined) this.refuse(exchange);
    else this.dispatch(exchange, server, 0, decision.candidates);
  }

  private chooseOwner(exchange: MeshExchange): void {
    const { request, route, service } = exchange;
    const server =
      request.key === undefined
        ? undefined
        : findRangeOwner(this.directory.view, route, service, request.key);
    const revision = this.directory.view.tables.get(service)?.revision ?? 0;
    const maySend =
      server !== undefined &&
      this.directory.isReachable(server, this.now()) &&
      (server.state === 'ready' || server.state === 'draining' || server.state === 'gone') &&
      (!exchange.tried.has(server.serverId) || revision > exchange.tableRevision);
    if (!maySend || exchange.offers >= MAX_ATTEMPTS) {
      this.waitForOwner(exchange, server);
      return;
    }
    const decision = this.decideEntry(exchange, [server]);
    if (decision.type === 'refuse') this.refuseForCapacity(exchange, decision.retryAfterMs);
    else this.dispatch({ ...exchange, tableRevision: revision }, server, 0);
  }

  private decideEntry(
    exchange: MeshExchange,
    candidates: readonly ServerEntry[],
  ): EntryDecision<ServerEntry> {
    return this.admission.decide(exchange, candidates, this.directory.view.servers.size, this.now());
  }

  /** Refuses a request for which no server has room. */
  private refuseForCapacity(exchange: MeshExchange, retryAfterMs: number): void {
    this.refuse({
      ...exchange,
      lastRefusal: 'noCapacity',
      retryAfterMs: earlierRetry(exchange.retryAfterMs, retryAfterMs),
    });
  }

  /** Waits for a limited time until the owner of the key, or its next one, is known and ready. */
  private waitForOwner(exchange: MeshExchange, owner: ServerEntry | undefined): void {
    const nowMs = this.now();
    const ownedInMs = findNextOwnerDelay(owner, this.options.clock.wallMs());
    const { sinceMs, untilMs, retryMs } = findOwnerWait(exchange, nowMs, ownedInMs);
    if (exchange.offers >= MAX_ATTEMPTS || nowMs >= untilMs || exchange.request.key === undefined) {
      if (ownedInMs === undefined) this.refuse(exchange);
      else this.refuse({ ...exchange, lastRefusal: 'ownerLost', retryAfterMs: ownedInMs });
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
    // The owner may have been granted the key in the meantime, so the request is sent to it again.
    this.exchanges.set(number, { ...exchange, tried: new Set(), offers: Math.min(exchange.offers, 1) });
    this.choose(number);
  }

  /** Sends a request to a server. `candidates` are the servers to which a second copy may go. */
  private dispatch(
    exchange: MeshExchange,
    server: ServerEntry,
    resends: number,
    candidates: readonly ServerEntry[] = [],
  ): void {
    const attempt = { number: exchange.offers + 1, server, sentMs: this.now(), resends };
    exchange.cursor.send({ type: 'offered' });
    const next = { ...exchange, attempt, offers: attempt.number, copies: exchange.copies + 1 };
    this.exchanges.set(exchange.number, next);
    const request = createBackendRequest(
      next,
      this.options.identity.service,
      resends > 0 ? server.processId : '',
    );
    this.options.chooser.noteSent(server.serverId);
    this.admission.noteSent(exchange.service, server.serverId);
    this.options.send(
      request,
      server,
      (result, second) =>
        this.post({ type: 'result', exchange: exchange.number, attempt: attempt.number, result, second }),
      createHedgeOffer(exchange, candidates),
    );
  }

  private noteResult(message: EntryMessage & { readonly type: 'result' }): void {
    const { result, second } = message;
    const exchange = this.exchanges.get(message.exchange);
    const attempt = exchange?.attempt;
    if (exchange === undefined || attempt?.number !== message.attempt) return;
    this.noteCopies(exchange, attempt.server, result, second);
    const arrived = result.type !== 'refused' || result.arrived;
    const next = {
      ...exchange,
      attempt: undefined,
      copies: exchange.copies + (second === undefined ? 0 : 1),
      arrivals: exchange.arrivals + (arrived ? 1 : 0) + (second === undefined ? 0 : 1),
      tried: new Set([
        ...exchange.tried,
        attempt.server.serverId,
        ...(second === undefined ? [] : [second.server.serverId]),
      ]),
    };
    this.exchanges.set(exchange.number, next);
    if (result.type === 'answered') this.noteResponse(next, result);
    else if (result.type === 'refused' && !isInconclusive(result, attempt)) this.noteRefused(next, result);
    // What the daemon of one copy still knows does not tell whether the other copy ran, so neither is resent.
    else
      this.noteLost(
        next,
        toLoss(result),
        attempt.server,
        second === undefined ? attempt.resends : MAX_RESENDS,
      );
  }

  /** Notes each result, with its load report, for the server that it came from. */
  private noteCopies(
    exchange: MeshExchange,
    first: ServerEntry,
    result: BackendResult,
    second: SecondCopy<ServerEntry, BackendResult> | undefined,
  ): void {
    if (second === undefined) {
      this.noteCopy(exchange, first.serverId, result);
      return;
    }
    const { serverId } = second.server;
    this.noteCopy(exchange, first.serverId, second.firstResult ?? CANCELLED);
    this.options.chooser.noteSent(serverId);
    this.admission.noteSent(exchange.service, serverId);
    this.noteCopy(exchange, serverId, second.result ?? CANCELLED);
  }

  private noteCopy(exchange: MeshExchange, serverId: string, result: BackendResult): void {
    const nowMs = this.now();
    this.options.chooser.noteResult(serverId, result, nowMs);
    this.admission.noteResult(exchange, serverId, result, nowMs);
  }

  private noteResponse(exchange: MeshExchange, result: BackendResult & { readonly type: 'answered' }): void {
    const { response } = result;
    if (response.status >= 500 && response.status !== GATEWAY_TIMEOUT && this.mayRunAgain(exchange)) {
      exchange.cursor.send({ type: 'lost' });
      this.exchanges.set(exchange.number, { ...exchange, mayHaveRun: true, failure: response });
      this.choose(exchange.number);
      return;
    }
    this.finish(exchange, { type: 'answer', response }, 'delivered');
  }

  private noteRefused(exchange: MeshExchange, result: BackendResult & { readonly type: 'refused' }): void {
    exchange.cursor.send({ type: 'refused' });
    const retryAfterMs = earlierRetry(exchange.retryAfterMs, result.retryAfterMs);
    const next = { ...exchange, lastRefusal: result.code, retryAfterMs };
    this.exchanges.set(exchange.number, next);
    if (FINAL_REFUSALS.has(result.code) || this.isOwnerFull(next)) this.refuse(next);
    else if (result.arrived && !this.spendRetry(next)) this.refuse(next);
    else this.choose(exchange.number);
  }

  /**
   * Whether the owner of the key, the only server that may run the request, has no capacity: sending it there
   * again would only delay the reply.
   */
  private isOwnerFull({ service, lastRefusal }: MeshExchange): boolean {
    return lastRefusal === 'full' && this.directory.isKeyed(service);
  }

  private noteLost(exchange: MeshExchange, result: Loss, server: ServerEntry, resends: number): void {
    exchange.cursor.send({ type: 'lost' });
    if (result.code === 'peerLost' && resends < MAX_RESENDS) {
      this.dispatch({ ...exchange, arrivals: exchange.arrivals - 1 }, server, resends + 1);
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

  /** Whether a request that may have run can be sent again; consumes retry budget if so. */
  private mayRunAgain(exchange: MeshExchange): boolean {
    if (!exchange.route.idempotent || exchange.arrivals >= exchange.route.maxAttempts) return false;
    if (exchange.dueMs - this.now() < MIN_RETRY_MS) return false;
    if (!this.directory.isKeyed(exchange.service) && !this.hasOtherServer(exchange)) return false;
    return this.spendRetry(exchange);
  }

  private spendRetry({ service, arrivals, route }: MeshExchange): boolean {
    return arrivals < route.maxAttempts && this.retries.spend(service, '', this.now());
  }

  private hasOtherServer({ route, service, tried }: MeshExchange): boolean {
    return this.directory.listUntriedCandidates(route, service, tried, this.now()).length > 0;
  }

  /** Ends a request whose last attempt was refused, or that no server was found for. */
  private refuse(exchange: MeshExchange): void {
    if (exchange.failure !== undefined) {
      this.finish(exchange, { type: 'answer', response: exchange.failure }, 'failed');
      return;
    }
    const outcome = exchange.mayHaveRun ? 'failed' : 'refused';
    const reply = createEntryRefusal(exchange, this.now());
    this.admission.noteReply(reply);
    this.finish(exchange, reply, outcome);
  }

  /** Ends a request that has no result yet. While an attempt is under way, it may have run. */
  private endUnfinished(number: number, code: 'timeout' | 'stopping'): void {
    const exchange = this.exchanges.get(number);
    if (exchange === undefined) return;
    if (exchange.attempt === undefined) {
      this.refuse(exchange);
      return;
    }
    this.cancelAttempt(exchange, code === 'timeout' ? 'timeout' : 'cancelled');
    this.finish(exchange, { type: 'refusal', status: GATEWAY_TIMEOUT, code, retryAfterMs: 0 }, 'unknown');
  }

  /** Cancels the attempt that is under way, if any; its result is not awaited. */
  private cancelAttempt({ request, attempt }: MeshExchange, code: 'timeout' | 'cancelled'): void {
    if (attempt === undefined) return;
    const { server } = attempt;
    this.options.cancel(request.id, server);
    this.options.chooser.noteResult(server.serverId, { type: 'lost', code, load: undefined }, this.now());
  }

  private noteLeft(number: number): void {
    const exchange = this.exchanges.get(number);
    if (exchange === undefined) return;
    exchange.cursor.send({ type: 'left' });
    this.cancelAttempt(exchange, 'cancelled');
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
      reply.type === 'answer' ? String(reply.response.status) : reply.code,
    );
  }

  private close(exchange: MeshExchange, outcome: Outcome, detail: string): void {
    exchange.cancelDue();
    exchange.cancelWait();
    this.exchanges.delete(exchange.number);
    const version = this.directory.view.routes?.table.version;
    const nowMs = this.now();
    this.admission.noteEnded(exchange, outcome, nowMs);
    this.recorder.record(exchange, outcome, detail, version, nowMs);
    this.options.tenants.noteEnd(exchange.tenant, outcome, nowMs - exchange.request.arrivedMs);
  }

  private noteView(view: MeshView): void {
    const before = this.directory.view;
    this.directory.update(view);
    this.options.chooser.retain(new Set(view.servers.keys()));
    this.admission.retain(view.servers);
    if (view.routes !== undefined && view.routes !== before.routes)
      this.splits.retain(view.routes.table.routes);
    if (view.tables === before.tables && view.servers === before.servers) return;
    for (const exchange of this.exchanges.values()) this.resumeWaiting(exchange.number, 'viewChanged');
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}

/**
 * Whether a refusal does not prove that an earlier copy did not run: the daemon that received it could not be
 * reached.
 */
function isInconclusive(
  { code }: BackendResult & { readonly type: 'refused' },
  { resends }: DispatchAttempt,
): boolean {
  return resends > 0 && code === 'unreachable';
}

function toLoss(result: BackendResult & { readonly type: 'refused' | 'lost' }): Loss {
  return result.type === 'lost' ? result : { type: 'lost', code: 'peerLost', load: undefined };
}
