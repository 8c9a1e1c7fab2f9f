import { randomBytes } from 'node:crypto';
import type { MemberFacts } from '#assignment/MemberFacts.js';
import type { CrashMark } from '#admission/CrashMark.js';
import type { Cell } from '#assignment/Cell.js';
import type { ControlEvent } from '#control/ControlEvent.js';
import { ControlPlane } from '#control/ControlPlane.js';
import { Logger } from '#core/Logger.js';
import { RandomSource } from '#core/RandomSource.js';
import { SystemClock } from '#core/SystemClock.js';
import type { DaemonPorts } from '#daemon/DaemonPorts.js';
import { RequestPath } from '#daemon/RequestPath.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { BackendFacts } from '#proxy/BackendFacts.js';
import type { EntryEnd } from '#proxy/EntryEnd.js';
import { PeerTransport } from '#rpc/PeerTransport.js';
import type { Settings } from '#settings/Settings.js';
import { HttpObjectStore } from '#store/HttpObjectStore.js';

/** A cell that was just fetched is not asked for again within this time, however many requests miss it. */
const CELL_FETCH_PAUSE_MS = 100;
const MICROS_PER_MS = 1000;

/** One daemon: the request path, the control tasks, and the connections between them. */
export class Daemon {
  private readonly clock = new SystemClock();
  private readonly logger = new Logger('daemon');
  private readonly metrics = new MetricsRecorder();
  private readonly random = new RandomSource(randomBytes(4).readInt32LE());
  private readonly transport: PeerTransport;
  private readonly store: HttpObjectStore;
  private readonly control: ControlPlane;
  private readonly path: RequestPath;
  private readonly cells = new Map<string, Cell>();
  private readonly fetchedAtMs = new Map<string, number>();
  private ports: DaemonPorts = { caller: 0, peer: 0, udp: 0, backend: 0 };
  private joined = false;

  public constructor(private readonly settings: Settings) {
    const { serverId, host, ports, fleetKey, storeUrl } = settings;
    const { clock, random } = this;
    this.transport = new PeerTransport({
      serverId,
      host,
      peerPort: ports.peer,
      udpPort: ports.udp,
      fleetKey,
      clock,
      logger: new Logger('rpc'),
    });
    this.store = new HttpObjectStore({ url: storeUrl, clock, random });
    this.path = new RequestPath(settings, clock, random.integer(0x7fff_ffff), {
      onEnd: (end) => this.record(end),
      onReceipt: (tenant, requestClass, outcome) => this.metrics.countOutcome(tenant, requestClass, outcome),
      onCellNeeded: (service, index) => this.fetchCell(service, index),
      onLoad: () => undefined,
      onMarks: (marks) => this.sendMarks(marks),
      onBackend: (facts) => this.applyBackend(facts),
    });
    this.control = new ControlPlane({
      settings,
      transport: this.transport,
      store: this.store,
      clock,
      logger: new Logger('control'),
      random,
      listener: (event) => this.applyControl(event),
    });
  }

  /** Opens all ports; the daemon joins its cell when the backend server beside it announces itself. */
  public async start(): Promise<DaemonPorts> {
    const { peerPort, udpPort } = await this.transport.start();
    const { caller, backend } = await this.path.start();
    this.transport.handle('marks', (params) => {
      this.path.applyMarks(params as readonly CrashMark[]);
      return Promise.resolve({});
    });
    this.ports = { caller, peer: peerPort, udp: udpPort, backend };
    this.logger.log('started', { caller, peerPort, udpPort, backend });
    return this.ports;
  }

  /** Leaves without cutting off a request: gives the shards away, then waits for open requests, within `shutdownMs`. */
  public async shutDown(): Promise<void> {
    this.logger.log('shutdownStarted', { step: 'shutdown' });
    const deadline = new Promise<void>((resolve) =>
      this.clock.schedule(this.settings.timings.shutdownMs, resolve),
    );
    await Promise.race([deadline, this.leave()]);
    for (const { tenant, class: requestClass, received, inFlight } of await this.path.readCounts())
      this.logger.log('counts', { step: 'shutdown', tenant, class: requestClass, received, inFlight });
    this.logger.log('shutdownEnded', { step: 'shutdown' });
    await this.stop();
  }

  /** Stops at once. */
  public async stop(): Promise<void> {
    this.path.stop();
    this.control.stop();
    await this.transport.stop();
    await this.store.close();
  }

  private async leave(): Promise<void> {
    await this.path.close();
  }

  private applyControl(event: ControlEvent): void {
    if (event.type === 'cell') this.cells.set(`${event.cell.service}/${event.cell.index}`, event.cell);
    this.path.apply(event);
  }

  private applyBackend(facts: BackendFacts | undefined): void {
    if (facts === undefined || this.joined) return;
    this.joined = true;
    this.control.start(this.createMemberFacts(facts), facts.service);
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
      adminPort: 0,
      checksToken: facts.checksToken,
      slots: facts.slots,
    };
  }

  private fetchCell(service: string, index: number): void {
    const name = `${service}/${index}`;
    const nowMs = this.clock.monotonicMs();
    if (nowMs - (this.fetchedAtMs.get(name) ?? -CELL_FETCH_PAUSE_MS) < CELL_FETCH_PAUSE_MS) return;
    this.fetchedAtMs.set(name, nowMs);
    const known = this.cells.get(name)?.version ?? 0;
    void this.control.fetchCell(service, index, known + 1);
  }

  private sendMarks(marks: readonly CrashMark[]): void {
    const members = [...this.cells.values()].flatMap((cell) => cell.members);
    const peers = members.filter(
      ({ serverId, state }) => serverId !== this.settings.serverId && state !== 'gone',
    );
    for (const peer of peers) this.transport.notify(peer, 'marks', marks);
  }

  private record(end: EntryEnd): void {
    this.metrics.countOutcome(end.tenant, end.class, end.outcome);
    this.metrics.recordPhase(end.tenant, end.class, 'whole', end.wholeMs * MICROS_PER_MS);
    this.metrics.recordPhase(end.tenant, end.class, 'backend', end.orderMs * MICROS_PER_MS);
    if (end.outcome === 'delivered') {
      this.metrics.recordPhase(end.tenant, end.class, 'deliveredInTime', end.wholeMs * MICROS_PER_MS);
    }
  }
}
