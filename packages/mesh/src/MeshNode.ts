import { ChartCursor } from '#chart/ChartCursor.js';
import { ContinueOnFault } from '#core/ContinueOnFault.js';
import { Logger } from '#core/Logger.js';
import { RandomSource } from '#core/RandomSource.js';
import type { Task } from '#core/Task.js';
import type { HedgeOffer } from '#hedging/HedgeOffer.js';
import { HedgeTask } from '#hedging/HedgeTask.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import { PhaseRecorder } from '#metrics/PhaseRecorder.js';
import type { EraChange } from '#store/EraChange.js';
import { ElapsedClock } from '#ranges/ElapsedClock.js';
import { QuotaTask } from '#tenants/QuotaTask.js';
import { TenantMetrics } from '#tenants/TenantMetrics.js';
import type { Announcement } from '#mesh/Announcement.js';
import type { AnnouncementReply } from '#mesh/AnnouncementReply.js';
import { ArrivalTask } from '#mesh/ArrivalTask.js';
import { BalanceTask } from '#mesh/BalanceTask.js';
import { CallerTask } from '#mesh/CallerTask.js';
import { ChangeFeedTask } from '#mesh/ChangeFeedTask.js';
import { CrashMarkTask } from '#mesh/CrashMarkTask.js';
import { createPeerCalls } from '#mesh/CreatePeerCalls.js';
import { daemonLifeChart } from '#mesh/DaemonLifeChart.js';
import type { DaemonLifeEvent } from '#mesh/DaemonLifeEvent.js';
import { DirectoryTask } from '#mesh/DirectoryTask.js';
import { EntryTask } from '#mesh/EntryTask.js';
import { FastestCompletion } from '#mesh/FastestCompletion.js';
import { FollowTask } from '#mesh/FollowTask.js';
import { listQuotaMembers } from '#mesh/ListQuotaMembers.js';
import { listUsableServers } from '#mesh/ListUsableServers.js';
import { MetricsTask } from '#mesh/MetricsTask.js';
import type { NodeOptions } from '#mesh/NodeOptions.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';
import { OwnershipTasks } from '#mesh/OwnershipTasks.js';
import { ReadinessTask } from '#mesh/ReadinessTask.js';
import { ReceiverTask } from '#mesh/ReceiverTask.js';
import { RelayTask } from '#mesh/RelayTask.js';
import type { Resignation } from '#mesh/Resignation.js';
import { rpcMethods } from '#mesh/RpcMethods.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import { ServerTask } from '#mesh/ServerTask.js';
import { StoreLinkTask } from '#mesh/StoreLinkTask.js';
import { TenantGate } from '#mesh/TenantGate.js';
import type { MeshView } from '#mesh/MeshView.js';

/**
 * Time after a stop request for which requests are still accepted while callers learn that this daemon leaves.
 */
const LEAVE_NOTICE_MS = 2_300;

/** Time before the end of the grace period at which the daemon stops even if requests are left. */
const STOP_MARGIN_MS = 400;

/** Time for a resignation to reach the other daemons. */
const RESIGNATION_DELIVERY_MS = 150;

/** Least time to write the last replies, and to refuse requests on connections that are still open, in milliseconds. */
const LAST_REPLIES_MS = 150;

/** Time before the end of the grace period at which the daemon no longer waits for callers to read their responses. */
const EXIT_MARGIN_MS = 150;

const STOP_CHECK_INTERVAL_MS = 50;

/** Fraction of the allowed retries that one daemon uses, as each daemon counts its own. */
const RETRY_BUDGET_FRACTION = 0.3;

/** Least number of daemons that share the retries that are always allowed. */
const MIN_DAEMONS = 12;

/**
 * Time before a drain or evacuation limit at which keyed requests to the leaving backend server are no longer
 * admitted.
 */
const KEYED_DRAIN_MARGIN_MS = 700;

/** A daemon: creates and connects its tasks, and stops them in order. */
export class MeshNode {
  private readonly options: NodeOptions;
  private readonly logger = new Logger('mesh');
  private readonly life = new ChartCursor<DaemonLifeEvent>(daemonLifeChart);
  private readonly metrics = new MetricsRecorder();
  private readonly delays = new PhaseRecorder();
  private readonly hedgeGains = new PhaseRecorder();
  private readonly tenantMetrics = new TenantMetrics();
  private readonly directory: DirectoryTask;
  private readonly feed: ChangeFeedTask;
  private readonly follow: FollowTask;
  private readonly storeLink: StoreLinkTask;
  private readonly entry: EntryTask;
  private readonly hedges: HedgeTask<BackendRequest, ServerEntry, BackendResult>;
  private readonly server: ServerTask;
  private readonly crashMarks: CrashMarkTask;
  private readonly ownership: OwnershipTasks;
  private readonly balance: BalanceTask;
  private readonly quotas: QuotaTask;
  private readonly relay: RelayTask;
  private readonly receiver: ReceiverTask;
  private readonly arrivals: ArrivalTask;
  private readonly callers: CallerTask;
  private readonly readiness: ReadinessTask;
  private readonly metricsServer: MetricsTask;
  private view: MeshView | undefined;

  public constructor(options: NodeOptions) {
    this.options = options;
    const { identity, processId, clock, store, timings } = options;
    const elapsed = new ElapsedClock(clock);
    const random = new RandomSource(options.seed);
    this.feed = new ChangeFeedTask(clock, this.metrics);
    this.directory = new DirectoryTask(store, options.decoder, clock, new Logger('directory'), (report) =>
      this.feed.post(report),
    );
    this.storeLink = new StoreLinkTask({
      store,
      clock,
      logger: new Logger('storeLink'),
      onReplaced: () => this.directory.post({ type: 'reconnected' }),
      onConfirmed: (sentMs) => this.directory.post({ type: 'confirmed', sentMs }),
    });
    this.follow = new FollowTask({
      identity,
      clock,
      logger: new Logger('follow'),
      metrics: this.metrics,
      random,
      call: (address, method, params, isLongPoll, reply) =>
        this.relay.post({ type: 'call', address, method, params, isLongPoll, reply }),
      readPositions: (reply) => this.directory.post({ type: 'positions', reply }),
      onFollowed: (updates) => {
        this.storeLink.post({ type: 'pause' });
        this.directory.post({ type: 'followed', updates });
      },
      probeStore: (reply) => {
        void store.probe('new').then((result) => reply(result.isRight()));
      },
      onDirect: () => {
        // Connections from before may have gone silent, which no probe has checked meanwhile.
        store.replaceConnections();
        // A probe confirms the watches that were sent before it.
        this.directory.post({ type: 'direct' });
        this.storeLink.post({ type: 'resume' });
      },
    });
    this.relay = new RelayTask({
      clock,
      logger: new Logger('relay'),
      revisions: () => this.view?.revisions ?? [],
      onHint: (revisions) => this.noteHint(revisions),
      onReachability: (address, reachable, untilMs) =>
        this.entry.post({ type: 'reach', address, reachable, untilMs }),
    });
    this.quotas = new QuotaTask({
      serverId: identity.serverId,
      processId,
      clock,
      logger: new Logger('quota'),
      call: (address, params, reply) =>
        this.relay.post({ type: 'call', address, method: rpcMethods.quota, params, reply }),
    });
    this.entry = new EntryTask({
      identity,
      clock,
      logger: new Logger('entry'),
      metrics: this.metrics,
      chooser: new FastestCompletion(identity, random, new Logger('placement'), this.metrics),
      tenants: new TenantGate({
        headers: options.headers,
        clock,
        logger: new Logger('entry'),
        metrics: this.tenantMetrics,
        admit: (tenant, decide) => this.quotas.post({ type: 'admit', tenant, decide }),
      }),
      retryFraction: options.retryFraction * RETRY_BUDGET_FRACTION,
      retryMinimum: (options.retrySlack * RETRY_BUDGET_FRACTION) / MIN_DAEMONS / 2,
      send: (request, server, reply, offer) => this.sendHedged(request, server, reply, offer),
      cancel: (id, server) => this.cancelHedged(id, server),
    });
    this.hedges = new HedgeTask({
      settings: options.hedging,
      clock,
      logger: new Logger('hedging'),
      metrics: this.metrics,
      gains: this.hedgeGains,
      send: (request, server, reply) => this.send(request, server, reply),
      cancel: (id, server) => this.cancel(id, server),
    });
    this.server = new ServerTask({
      identity,
      processId,
      headers: options.headers,
      clock,
      elapsed,
      logger: new Logger('server'),
      keyedLeaveMs: options.drainMs - KEYED_DRAIN_MARGIN_MS,
      keyedEvacuationMs: options.evacuateMs - 2 * KEYED_DRAIN_MARGIN_MS,
      onEvidence: (evidence) => this.ownership.presence.post({ type: 'evidence', evidence }),
      onLoad: (load, baseSlowdown) => this.balance.post({ type: 'load', load, baseSlowdown }),
      onDemand: (key, workMs) => this.ownership.ranges.post({ type: 'demanded', key, workMs }),
      onMarks: (marks) => this.crashMarks.post({ type: 'marked', marks }),
    });
    this.crashMarks = new CrashMarkTask({
      identity,
      store,
      clock,
      logger: new Logger('crashMarks'),
      call: (address, method, params, reply) =>
        this.relay.post({ type: 'call', address, method, params, reply }),
      onRestored: (marks) => this.server.post({ type: 'marks', marks }),
    });
    this.ownership = new OwnershipTasks({
      identity,
      processId,
      address: `${options.peers.host}:${options.peers.port}`,
      timings,
      announceEveryMs: options.announceEveryMs,
      store,
      clock,
      elapsed,
      createLogger: (component) => new Logger(component),
      isConfigured: (service) => this.view?.routes?.table.services.has(service) ?? false,
      onPresence: (presence) => this.server.post({ type: 'presence', presence }),
      onGranted: (keys) => this.server.post({ type: 'granted', keys }),
      onFacts: (facts) => this.balance.post({ type: 'facts', facts }),
      call: (address, method, params, reply) =>
        this.relay.post({ type: 'call', address, method, params, reply }),
    });
    this.balance = new BalanceTask({
      identity,
      clock,
      logger: new Logger('balance'),
      call: (address, method, params, reply) =>
        this.relay.post({ type: 'call', address, method, params, reply }),
      onRelease: (requests) => this.ownership.ranges.post({ type: 'release', requests }),
    });
    this.receiver = new ReceiverTask({
      ...options.peers,
      clock,
      logger: new Logger('receiver'),
      revisions: () => this.view?.revisions ?? [],
      onHint: (revisions) => this.noteHint(revisions),
      onRequest: (request, reply) => this.server.post({ type: 'order', request, reply }),
      calls: createPeerCalls(processId, {
        describePlanner: () => this.ownership.planner.ask((reply) => ({ type: 'asked', reply })),
        describeLoad: () => this.balance.ask((reply) => ({ type: 'asked', reply })),
        onResigned: (value) => postTo(this.ownership.planner, { type: 'resigned', value }),
        onCancel: (id) => postTo(this.server, { type: 'cancel', id }),
        onRelease: (request) => postTo(this.ownership.ranges, { type: 'release', requests: [request] }),
        onQuota: (value) => this.quotas.ask((reply) => ({ type: 'asked', value, reply })),
        onMarks: (marks) => postTo(this.server, { type: 'marks', marks }),
        readChanges: (request) => this.feed.ask((reply) => ({ type: 'asked', request, reply })),
      }),
    });
    this.arrivals = new ArrivalTask({
      clock,
      logger: new Logger('callers'),
      metrics: this.metrics,
      delays: this.delays,
      onRequest: (exchange, request, reply) => this.entry.post({ type: 'arrived', exchange, request, reply }),
      onLeft: (exchange) => this.entry.post({ type: 'left', exchange }),
    });
    this.callers = new CallerTask({
      ...options.callers,
      headers: options.headers,
      capacity: options.callerCapacity,
      metrics: this.metrics,
      clock,
      logger: new Logger('callers'),
      onAccepted: () => this.arrivals.post({ type: 'accepted' }),
      onRequest: (exchange, request, reply) =>
        this.arrivals.post({ type: 'arrived', exchange, request, reply }),
      onLeft: (exchange) => this.arrivals.post({ type: 'left', exchange }),
    });
    this.readiness = new ReadinessTask(options.readiness.host, options.readiness.port);
    this.metricsServer = new MetricsTask(
      this.metrics,
      [
        {
          name: 'amaranthrouter_read_delay_seconds',
          help: 'Time from the arrival of a request until work on it begins.',
          recorder: this.delays,
        },
        {
          name: 'amaranthrouter_hedge_gain_seconds',
          help: 'Estimated time saved by second copies that ended first.',
          recorder: this.hedgeGains,
        },
      ],
      this.tenantMetrics,
    );
    store.setEraListener((change) => this.noteEra(change));
    this.setFaultPolicies();
  }

  /** Starts listening and reading the store; rejects if an address is in use. */
  public async start(): Promise<void> {
    const { metrics } = this.options;
    await Promise.all([
      this.readiness.listen(),
      this.receiver.listen(),
      this.callers.listen(),
      ...(metrics === undefined ? [] : [this.metricsServer.listen(metrics.host, metrics.port)]),
    ]);
    this.directory.post({ type: 'subscribe', listener: (view) => this.noteView(view) });
    this.storeLink.start();
    this.directory.start();
    this.ownership.start();
    this.crashMarks.start();
    this.arrivals.start();
    this.logger.log('started', { server: this.options.identity.serverId, process: this.options.processId });
  }

  /** Handles an announcement of the backend server. */
  public announce(announcement: Announcement): Promise<AnnouncementReply> {
    return this.ownership.presence.ask((reply) => ({ type: 'announced', announcement, reply }));
  }

  /** Handles the withdrawal of the backend server, which is about to stop. Resolves to false if it has to be repeated. */
  public withdraw(instanceId: string, bornMs: number | undefined): Promise<boolean> {
    return this.ownership.presence.ask((reply) => ({ type: 'withdrawn', instanceId, bornMs, reply }));
  }

  /** Stops all tasks at once, without replies to open requests. */
  public halt(): void {
    for (const task of this.listTasks()) task.stop();
  }

  /**
   * Shuts down gracefully: stops accepting requests, waits for open ones within the grace period, and stops the
   * tasks.
   */
  public async stop(): Promise<void> {
    if (!this.life.send({ type: 'stop' })) return;
    const { clock, graceMs } = this.options;
    const startMs = clock.monotonicMs();
    this.logger.log('stopping', { requests: this.entry.load, orders: this.server.load });
    this.readiness.post({ type: 'ready', ready: false });
    this.callers.post({ type: 'stopping' });
    const endMs = startMs + graceMs - STOP_MARGIN_MS;
    this.entry.post({ type: 'leaving', untilMs: endMs });
    this.ownership.ranges.post({ type: 'stopRequested' });
    this.server.post({ type: 'probe' });
    // Callers and other daemons may keep sending requests; if these were accepted, the daemon would never
    // become idle.
    clock.schedule(LEAVE_NOTICE_MS, () => {
      this.server.post({ type: 'stopping' });
      this.entry.post({ type: 'stopping' });
      this.hedges.post({ type: 'stopping' });
      this.callers.post({ type: 'refusing' });
    });
    await this.waitUntilEmpty(startMs + LEAVE_NOTICE_MS, endMs);
    const lastMs = clock.monotonicMs() + LAST_REPLIES_MS;
    this.callers.post({ type: 'ending' });
    this.server.post({ type: 'ending' });
    this.entry.post({ type: 'ending' });
    this.feed.post({ type: 'ending' });
    this.receiver.post({ type: 'ending' });
    const exitMs = Math.max(lastMs, startMs + graceMs - EXIT_MARGIN_MS);
    await Promise.all([this.resign(), this.waitUntilEmpty(lastMs, exitMs)]);
    this.life.send({ type: 'emptied' });
    this.logger.log('stopped', { requests: this.entry.load, orders: this.server.load });
    this.halt();
    await this.options.store.close();
  }

  /**
   * Lets tasks continue after a fault if each of their messages concerns a single request or connection. The other tasks
   * maintain ownership or a chain of calls, and a fault in them ends the process
   * (docs/decisions/0009-fault-in-a-task.md).
   */
  private setFaultPolicies(): void {
    const policy = new ContinueOnFault();
    const tasks = [
      this.callers,
      this.arrivals,
      this.entry,
      this.hedges,
      this.quotas,
      this.server,
      this.relay,
      this.receiver,
      this.readiness,
      this.metricsServer,
    ];
    for (const task of tasks) task.setFaultPolicy(policy);
  }

  /**
   * Resigns the lease if the backend server holds no keys any longer, so that other daemons need not wait for
   * its expiry.
   */
  private async resign(): Promise<void> {
    const isFree = await this.ownership.ranges.ask<boolean>((reply) => ({ type: 'stopping', reply }));
    if (!isFree) return;
    const resignation = await this.ownership.lease.ask<Resignation>((reply) => ({ type: 'resign', reply }));
    this.callServicePeers(rpcMethods.resigned, resignation);
    await new Promise<void>((resolve) => this.options.clock.schedule(RESIGNATION_DELIVERY_MS, resolve));
  }

  /** Calls the other daemons of this service and ignores their replies. */
  private callServicePeers(method: string, params: unknown): void {
    const { serverId, service } = this.options.identity;
    for (const server of this.view?.servers.values() ?? []) {
      if (server.serverId === serverId || server.service !== service) continue;
      this.relay.post({ type: 'call', address: server.address, method, params, reply: () => undefined });
    }
  }

  private waitUntilEmpty(earliestMs: number, latestMs: number): Promise<void> {
    const { clock } = this.options;
    return new Promise((resolve) => {
      const check = (): void => {
        const nowMs = clock.monotonicMs();
        const tasks = [this.callers, this.arrivals, this.entry, this.server, this.receiver];
        const isEmpty = tasks.every(({ load }) => load === 0);
        if (nowMs >= latestMs || (isEmpty && nowMs >= earliestMs)) resolve();
        else clock.schedule(STOP_CHECK_INTERVAL_MS, check);
      };
      check();
    });
  }

  private listTasks(): readonly { readonly stop: () => void }[] {
    return [
      this.callers,
      this.arrivals,
      this.readiness,
      this.metricsServer,
      this.directory,
      this.feed,
      this.follow,
      this.storeLink,
      this.entry,
      this.hedges,
      this.server,
      this.ownership,
      this.crashMarks,
      this.balance,
      this.quotas,
      this.relay,
      this.receiver,
    ];
  }

  private noteView(view: MeshView): void {
    const before = this.view;
    this.view = view;
    for (const revision of view.revisions) this.options.store.learnVersion(revision);
    this.entry.post({ type: 'view', view });
    if (this.hedgesRequests && (view.servers !== before?.servers || view.evacuated !== before.evacuated))
      this.hedges.post({ type: 'servers', serverIds: listUsableServers(view) });
    this.server.post({ type: 'view', view });
    this.ownership.applyView(view);
    this.crashMarks.post({ type: 'view', view });
    this.balance.post({ type: 'view', view });
    this.follow.post({ type: 'view', view });
    const { routes } = view;
    if (routes !== undefined && routes !== before?.routes)
      this.callers.post({ type: 'limits', limits: routes.table.limits });
    if (routes !== undefined && routes !== before?.routes) {
      this.tenantMetrics.retain(routes.table.tenants);
      this.quotas.post({ type: 'tenants', tenants: routes.table.tenants });
    }
    if (view.complete && (before?.complete !== true || view.servers !== before.servers))
      this.quotas.post({ type: 'members', members: listQuotaMembers(view) });
    if (!view.complete || routes === undefined || !this.life.send({ type: 'informed' })) return;
    this.readiness.post({ type: 'ready', ready: true });
    this.logger.log('serving', { version: routes.table.version, servers: view.servers.size });
  }

  /** Passes a restore of the store on to the tasks that keep state in it. */
  private noteEra(change: EraChange): void {
    const { era, isFirst } = change;
    this.logger.log(isFirst ? 'storeEra' : 'storeRestored', { step: 'store', era });
    if (!isFirst) this.metrics.count('storeRestores');
    this.metrics.setGauge('storeEra', era);
    this.ownership.noteEra(change);
    this.crashMarks.post({ type: 'eraChanged', change });
    if (!isFirst) this.directory.post({ type: 'eraChanged' });
  }

  private noteHint(revisions: readonly number[]): void {
    const own = this.view?.revisions ?? [];
    if (!revisions.some((revision, index) => revision > (own[index] ?? 0))) return;
    // One of the two reads the collections, and the other ignores the hint.
    this.directory.post({ type: 'hint', revisions });
    this.follow.post({ type: 'hint', revisions });
  }

  private get hedgesRequests(): boolean {
    return this.options.hedging.fraction > 0;
  }

  private sendHedged(
    request: BackendRequest,
    server: ServerEntry,
    reply: BackendResultCallback,
    offer: HedgeOffer<ServerEntry> | undefined,
  ): void {
    if (offer === undefined || !this.hedgesRequests) this.send(request, server, reply);
    else this.hedges.post({ type: 'send', request, server, offer, reply });
  }

  private cancelHedged(id: string, server: ServerEntry): void {
    if (this.hedgesRequests) this.hedges.post({ type: 'cancel', id, server });
    else this.cancel(id, server);
  }

  private send(request: BackendRequest, server: ServerEntry, reply: BackendResultCallback): void {
    if (server.serverId === this.options.identity.serverId)
      this.server.post({ type: 'order', request, reply });
    else this.relay.post({ type: 'order', request, address: server.address, reply });
  }

  private cancel(id: string, server: ServerEntry): void {
    if (server.serverId === this.options.identity.serverId) this.server.post({ type: 'cancel', id });
    else this.relay.post({ type: 'cancel', id, address: server.address });
  }
}

function postTo<M>(task: Task<M>, message: M): true {
  task.post(message);
  return true;
}
