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
import { emptyFleetView } from '#daemon/EmptyView.js';
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
/** A cell that was just fetched is not asked for again within this time, however many requests miss it. */
const CELL_FETCH_PAUSE_MS = 100;
/** An unanswered ask for a slice is repeated after this time. */
const QUOTA_TIMEOUT_MS = 500;
/** Operators use few daemons at a time, so that these calls to the store don't grow with the fleet. */
const ADMIN_CALLS_PER_SECOND = 1;
/** Part of `shutdownMs` for giving shards away; the rest is for open requests, also while the store is down. */
const DRAIN_PART = 0.7;

/** One daemon: the request path, the control tasks, the administration API, and the connections between them. */
export class Daemon {
  private readonly clock = new SystemClock();
  private readonly logger = new Logger('daemon');
  private readonly metrics = new MetricsRecorder();
  private readonly measure = new RequestMetrics(this.metrics);
  private readonly meter = new StoreMeter(this.clock);
  private readonly random = new RandomSource(randomBytes(4).readInt32LE());
  private readonly transport: PeerTransport;
  private readonly store: MeteredStore;
  private readonly adminStore: MeteredStore;
  private readonly path: RequestPath;
  private readonly local: LocalAdmin;
  private readonly admin: AdminTask;
  private readonly fetchedAtMs = new Map<string, number>();
  private control: ControlPlane;
  private view: FleetView = emptyFleetView;
  private presence: string = CHART.initial;
  private facts: BackendFacts | undefined;
  private drained: Promise<boolean> = Promise.resolve(true);
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
    this.adminStore = this.connectStore(ADMIN_CALLS_PER_SECOND);
    this.path = this.buildPath();
    this.control = this.buildControl();
    const { local, backend } = buildAdmin(
      {
        settings,
        clock,
        random,
        metrics,
        meter,
        owner: this.path.owner,
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

  /** Opens all ports; the daemon joins its cell when the backend server beside it announces itself. */
  public async start(): Promise<DaemonPorts> {
    const { peerPort, udpPort } = await this.transport.start();
    this.transport.handle('marks', (params) => {
      this.path.applyMarks(params as readonly RequestMark[]);
      return Promise.resolve({});
    });
    this.transport.handle('quota', (params) => this.path.askQuota(params as QuotaRequest));
    const admin = unwrapOrThrow(await this.admin.start());
    const { caller, backend } = await this.path.start();
    this.ports = { caller, peer: peerPort, udp: udpPort, admin, backend };
    this.logger.log('started', { caller, peerPort, udpPort, admin, backend });
    return this.ports;
  }

  /** Leaves without cutting off a request: gives the shards away, then waits for open requests, within `shutdownMs`. */
  public async shutDown(): Promise<void> {
    this.logger.log('shutdownStarted', { step: 'shutdown' });
    await Promise.race([this.wait(this.settings.timings.shutdownMs), this.leave()]);
    for (const { team, class: requestClass, received, inFlight } of await this.path.readCounts())
      this.logger.log('counts', { step: 'shutdown', team, class: requestClass, received, inFlight });
    this.logger.log('shutdownEnded', { step: 'shutdown' });
    await this.stop();
  }

  /** Stops at once. */
  public async stop(): Promise<void> {
    this.admin.stop();
    this.path.stop();
    this.control.stop();
    await this.transport.stop();
    await Promise.all([this.store.close(), this.adminStore.close()]);
  }

  /** The entry goes on serving until the shards have left. Those that have not are given up once no request is open. */
  private async leave(): Promise<void> {
    this.path.announceClose();
    this.advance('shutDown');
    const drainMs = this.settings.timings.shutdownMs * DRAIN_PART;
    const isDrained = await Promise.race([this.wait(drainMs).then(() => false), this.drained]);
    this.logger.log('drainEnded', { step: 'shutdown', outcome: isDrained ? 'left' : 'timeout' });
    await this.path.close();
    if (isDrained) return;
    this.control.resign();
    await this.drained;
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
      onEnd: (end) => this.measure.noteEnd(end),
      onReceipt: (team, requestClass, outcome, wholeMs) =>
        this.measure.noteOutcome(team, requestClass, outcome, wholeMs),
      onCellNeeded: (service, index) => this.fetchCell(service, index),
      onQuotaRequest: (holder, ask) => void this.askQuota(holder, ask),
      onLoad: (requestsPerSecond) => this.reportLoad(Object.fromEntries(requestsPerSecond)),
      onMarks: (marks) => sendMarks(this.transport, this.settings.serverId, this.view.cells.values(), marks),
      onBackend: (facts) => this.applyBackend(facts),
      onResponse: (times) => this.measure.noteAnswered(times),
    });
  }

  /** An ask that is lost or refused is repeated by the entry task. */
  private async askQuota(holder: Member, ask: QuotaRequest): Promise<void> {
    const options = { channel: 'udp', timeoutMs: QUOTA_TIMEOUT_MS } as const;
    const answer = await this.transport.call(holder, 'quota', ask, options);
    answer.ifRight((slice) => this.path.applySlice(slice as QuotaGrant));
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
      // Replies to a replaced control plane may still arrive.
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
    this.path.apply(event);
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

  /** The daemon stays for callers while its backend server is lost, and also while that leaves. */
  private applyBackend(facts: BackendFacts | undefined): void {
    if (facts === undefined) return;
    this.facts = facts;
    this.advance(facts.leaving ? 'leaving' : 'present');
  }

  private advance(type: string): void {
    const before = this.presence;
    const step = advanceChart(CHART, { value: before, context: undefined }, { type });
    if (!step.taken) return;
    this.presence = step.snapshot.value;
    this.logger.log('presence', { step: 'join', from: before, to: this.presence });
    this.local.noteLeaving(this.presence === 'leaving' || this.presence === 'stopping');
    for (const command of step.commands) this.carryOut(command);
  }

  private carryOut(command: PresenceCommand): void {
    switch (command) {
      case 'join':
        if (this.facts !== undefined)
          this.control.start(this.createMemberFacts(this.facts), this.facts.service);
        break;
      case 'drain':
        this.drained = this.control.drain();
        break;
      case 'replaceControl':
        // A control plane that has left its cell does not join again. The new one writes a new epoch, as after a restart.
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
    if (nowMs - (this.fetchedAtMs.get(name) ?? -CELL_FETCH_PAUSE_MS) < CELL_FETCH_PAUSE_MS) return;
    this.fetchedAtMs.set(name, nowMs);
    const known = this.view.cells.get(name)?.version ?? 0;
    void this.control.fetchCell(service, index, known + 1);
  }
}
