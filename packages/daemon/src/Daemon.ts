import { randomBytes } from 'node:crypto';
import { AdminTask } from '#admin/AdminTask.js';
import type { QuotaRequest } from '#admission/QuotaRequest.js';
import type { QuotaGrant } from '#admission/QuotaGrant.js';
import { formatCellKey } from '#assignment/FormatCellKey.js';
import type { Member } from '#assignment/Member.js';
import type { MemberFacts } from '#assignment/MemberFacts.js';
import { advanceChart } from '#chart/AdvanceChart.js';
import { compileChart } from '#chart/CompileChart.js';
import type { ControlEvent } from '#control/ControlEvent.js';
import { ControlPlane } from '#control/ControlPlane.js';
import { Logger } from '#core/Logger.js';
import { RandomSource } from '#core/RandomSource.js';
import { SystemClock } from '#core/SystemClock.js';
import { applyToView } from '#daemon/ApplyToView.js';
import { buildAdmin } from '#daemon/BuildAdmin.js';
import { compareCells } from '#daemon/CompareCells.js';
import type { DaemonPorts } from '#daemon/DaemonPorts.js';
import { emptyFleetView } from '#daemon/EmptyFleetView.js';
import type { FleetView } from '#daemon/FleetView.js';
import type { LocalAdmin } from '#daemon/LocalAdmin.js';
import { RequestMetrics } from '#daemon/RequestMetrics.js';
import { MeteredStore } from '#daemon/MeteredStore.js';
import type { PresenceCommand } from '#daemon/PresenceCommand.js';
import { presenceRules } from '#daemon/PresenceRules.js';
import { RequestPath } from '#daemon/RequestPath.js';
import { unwrapOrThrow } from '#daemon/UnwrapOrThrow.js';
import { sendMarks } from '#daemon/SendMarks.js';
import { StoreMeter } from '#daemon/StoreMeter.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { BackendFacts } from '#proxy/BackendFacts.js';
import type { RequestMark } from '#proxy/RequestMark.js';
import { PeerTransport } from '#rpc/PeerTransport.js';
import type { Settings } from '#settings/Settings.js';
import { HttpObjectStore } from '#store/HttpObjectStore.js';
import file from '../charts/presence.json' with { type: 'json' };

const CHART = compileChart('presence.json', file, presenceRules);
/** Shortest time between two fetches of one cell, however many requests reach a daemon that is not the owner. */
const MIN_CELL_FETCH_INTERVAL_MS = 100;
const QUOTA_TIMEOUT_MS = 500;
/** Budget of the administration API. Operators use few daemons at a time, so these calls do not grow with the fleet. */
const ADMIN_STORE_CALLS_PER_SECOND = 1;
/** Fraction of `shutdownMs` for handing shards over. The rest is left for open requests, even if the store is down. */
const DRAIN_FRACTION = 0.7;

/** Builds and connects the request path, the control plane and the administration API of one daemon. */
export class Daemon {
  private readonly clock = new SystemClock();
  private readonly logger = new Logger('daemon');
  private readonly metrics = new MetricsRecorder();
  private readonly requestMetrics = new RequestMetrics(this.metrics);
  private readonly meter = new StoreMeter(this.clock);
  private readonly random = new RandomSource(randomBytes(4).readInt32LE());
  private readonly transport: PeerTransport;
  private readonly store: MeteredStore;
  private readonly adminStore: MeteredStore;
  private readonly requestPath: RequestPath;
  private readonly local: LocalAdmin;
  private readonly admin: AdminTask;
  private readonly cellFetchedAtMs = new Map<string, number>();
  private control: ControlPlane;
  private view: FleetView = emptyFleetView;
  private presence: string = CHART.initial;
  private backendFacts: BackendFacts | undefined;
  private drainResult: Promise<boolean> = Promise.resolve(true);
  private ports: DaemonPorts = { caller: 0, peer: 0, udp: 0, admin: 0, backend: 0 };

  public constructor(private readonly settings: Settings) {
    const { serverId, host, ports, fleetKey, adminTls } = settings;
    const { clock, random, metrics, meter } = this;
    this.transport = new PeerTransport({
      serverId,
      host,
      peerPort: ports.peer,
      udpPort: ports.udp,
      fleetKey,
      clock,
      logger: new Logger('rpc'),
    });
    this.store = this.connectStore();
    this.adminStore = this.connectStore(ADMIN_STORE_CALLS_PER_SECOND);
    this.requestPath = this.buildPath();
    this.control = this.buildControl();
    const { local, backend } = buildAdmin(
      {
        settings,
        clock,
        random,
        metrics,
        meter,
        owner: this.requestPath.owner,
        control: () => this.control,
        view: () => this.view,
        transportStats: () => this.transport.readStats(),
      },
      this.transport,
      this.adminStore,
    );
    this.local = local;
    const tls = adminTls === undefined ? {} : { tls: adminTls };
    this.admin = new AdminTask(backend, { host, port: ports.admin, fleetKey, ...tls }, clock);
  }

  /** Opens all ports. The daemon joins its cell later, when the backend server on its VM announces itself. */
  public async start(): Promise<DaemonPorts> {
    const { peerPort, udpPort } = await this.transport.start();
    this.transport.handle('marks', (params) => {
      this.requestPath.applyMarks(params as readonly RequestMark[]);
      return Promise.resolve({});
    });
    this.transport.handle('quota', (params) => this.requestPath.handleQuotaRequest(params as QuotaRequest));
    const admin = unwrapOrThrow(await this.admin.start());
    const { caller, backend } = await this.requestPath.start();
    this.ports = { caller, peer: peerPort, udp: udpPort, admin, backend };
    this.logger.log('started', { caller, peerPort, udpPort, admin, backend });
    return this.ports;
  }

  /** Shuts down gracefully within `shutdownMs`: hands the shards over, then waits for open requests to end. */
  public async shutDown(): Promise<void> {
    this.logger.log('shutdownStarted', { step: 'shutdown' });
    await Promise.race([this.wait(this.settings.timings.shutdownMs), this.leave()]);
    for (const { team, class: requestClass, received, inFlight } of await this.requestPath.readCounts())
      this.logger.log('counts', { step: 'shutdown', team, class: requestClass, received, inFlight });
    this.logger.log('shutdownEnded', { step: 'shutdown' });
    await this.stop();
  }

  /** Stops at once; open requests are cut off. */
  public async stop(): Promise<void> {
    this.admin.stop();
    this.requestPath.stop();
    this.control.stop();
    await this.transport.stop();
    await Promise.all([this.store.close(), this.adminStore.close()]);
  }

  /**
   * Serves callers until all shards have been handed over or the time for it is over. Resigns from the remaining shards
   * only after the last open request has ended.
   */
  private async leave(): Promise<void> {
    this.requestPath.announceClose();
    this.advancePresence('shutDown');
    const drainMs = this.settings.timings.shutdownMs * DRAIN_FRACTION;
    const isDrained = await Promise.race([this.wait(drainMs).then(() => false), this.drainResult]);
    this.logger.log('drainEnded', { step: 'shutdown', outcome: isDrained ? 'left' : 'timeout' });
    await this.requestPath.close();
    if (!isDrained) {
      this.control.resign();
      await this.drainResult;
    }
    await this.requestPath.waitConnectionsEnded();
  }

  private wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => this.clock.schedule(durationMs, resolve));
  }

  private connectStore(callsPerSecond?: number): MeteredStore {
    const { clock, random } = this;
    const budget = callsPerSecond === undefined ? {} : { callsPerSecond };
    const store = new HttpObjectStore({ url: this.settings.storeUrl, clock, random, ...budget });
    return new MeteredStore(store, this.meter);
  }

  private buildPath(): RequestPath {
    return new RequestPath(this.settings, this.clock, this.random.integer(0x7fff_ffff), {
      onEnd: (end) => this.requestMetrics.noteEnd(end),
      onReceipt: (team, requestClass, outcome, wholeMs) =>
        this.requestMetrics.noteOutcome(team, requestClass, outcome, wholeMs),
      onCellNeeded: (service, index) => this.fetchCell(service, index),
      onQuotaRequest: (holder, quotaRequest) => void this.requestQuota(holder, quotaRequest),
      onLoad: (requestsPerSecond) => this.reportLoad(Object.fromEntries(requestsPerSecond)),
      onMarks: (marks) => sendMarks(this.transport, this.settings.serverId, this.view.cells.values(), marks),
      onBackend: (facts) => this.applyBackend(facts),
      onResponse: (times) => this.requestMetrics.noteBackendTimes(times),
    });
  }

  /** Requests a share of the quota from its holder. The entry task repeats a request that is lost or refused. */
  private async requestQuota(holder: Member, quotaRequest: QuotaRequest): Promise<void> {
    const options = { channel: 'udp', timeoutMs: QUOTA_TIMEOUT_MS } as const;
    const response = await this.transport.call(holder, 'quota', quotaRequest, options);
    response.ifRight((grant) => this.requestPath.applyQuotaGrant(grant as QuotaGrant));
  }

  private buildControl(): ControlPlane {
    const control: ControlPlane = new ControlPlane({
      settings: this.settings,
      transport: this.transport,
      store: this.store,
      operatorStore: this.adminStore,
      clock: this.clock,
      logger: new Logger('control'),
      random: this.random,
      // A control plane that was replaced may still emit events, which must not be applied.
      listener: (event) => {
        if (this.control === control) this.applyControl(event);
      },
    });
    return control;
  }

  private applyControl(event: ControlEvent): void {
    if (event.type === 'cell') this.countChanges(event.cell);
    if (event.type === 'catalogue') this.metrics.count('catalogueChanges');
    this.view = applyToView(this.view, event);
    this.requestPath.apply(event);
  }

  private countChanges(cell: Extract<ControlEvent, { readonly type: 'cell' }>['cell']): void {
    const before = this.view.cells.get(formatCellKey(cell.service, cell.index));
    const changes = compareCells(before, cell, this.settings.serverId);
    this.metrics.count('takeovers', changes.takeovers);
    this.metrics.count('plannedMoves', changes.plannedMoves);
    this.metrics.count('hotKeyMoves', changes.hotKeyMoves);
  }

  private reportLoad(loads: Readonly<Record<string, number>>): void {
    this.local.noteLoads(loads);
    this.control.reportLoad(loads);
  }

  /** Joins or leaves the cell with the backend server. A lost backend server (`undefined`) changes nothing. */
  private applyBackend(facts: BackendFacts | undefined): void {
    if (facts === undefined) return;
    this.backendFacts = facts;
    this.advancePresence(facts.leaving ? 'leaving' : 'present');
  }

  private advancePresence(type: string): void {
    const before = this.presence;
    const step = advanceChart(CHART, { value: before, context: undefined }, { type });
    if (!step.taken) return;
    this.presence = step.snapshot.value;
    this.logger.log('presence', { step: 'join', from: before, to: this.presence });
    this.local.noteLeaving(this.presence === 'leaving' || this.presence === 'stopping');
    for (const command of step.commands) this.perform(command);
  }

  private perform(command: PresenceCommand): void {
    switch (command) {
      case 'join':
        if (this.backendFacts !== undefined)
          this.control.start(this.createMemberFacts(this.backendFacts), this.backendFacts.service);
        break;
      case 'drain':
        this.drainResult = this.control.drain();
        break;
      case 'replaceControl':
        // A control plane that has left its cell cannot join again. The new one starts a new epoch, as after a restart.
        this.control.stop();
        this.control = this.buildControl();
        break;
    }
  }

  private createMemberFacts(facts: BackendFacts): MemberFacts {
    const { serverId, region, failureDomain, vm, host } = this.settings;
    return {
      serverId,
      incarnation: randomBytes(8).toString('hex'),
      region,
      failureDomain,
      vm,
      host,
      callerPort: this.ports.caller,
      peerPort: this.ports.peer,
      udpPort: this.ports.udp,
      adminPort: this.ports.admin,
      checksToken: facts.checksToken,
      slots: facts.slots,
    };
  }

  private fetchCell(service: string, index: number): void {
    const name = formatCellKey(service, index);
    const nowMs = this.clock.monotonicMs();
    this.metrics.count('misdirected');
    if (nowMs - (this.cellFetchedAtMs.get(name) ?? -MIN_CELL_FETCH_INTERVAL_MS) < MIN_CELL_FETCH_INTERVAL_MS)
      return;
    this.cellFetchedAtMs.set(name, nowMs);
    const knownVersion = this.view.cells.get(name)?.version ?? 0;
    void this.control.fetchCell(service, index, knownVersion + 1);
  }
}
