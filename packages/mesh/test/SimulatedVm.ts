import { Logger } from '#core/Logger.js';
import { defaultLeaseTimings } from '#ranges/DefaultLeaseTimings.js';
import { ElapsedClock } from '#ranges/ElapsedClock.js';
import type { Announcement } from '#mesh/Announcement.js';
import type { AnnouncementReply } from '#mesh/AnnouncementReply.js';
import { BalanceTask } from '#mesh/BalanceTask.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import type { LeaseReport } from '#mesh/LeaseReport.js';
import { OwnershipTasks } from '#mesh/OwnershipTasks.js';
import type { PresenceEvidence } from '#mesh/PresenceEvidence.js';
import { rpcMethods } from '#mesh/RpcMethods.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';
import type { MeshView } from '#mesh/MeshView.js';
import { SimulatedServer } from './SimulatedServer.js';
import { SimulatedStore } from './SimulatedStore.js';
import type { SimulatedWorld } from './SimulatedWorld.js';
import { StallingClock } from './StallingClock.js';
import type { StorePath } from './StorePath.js';

const PING_TIMEOUT_MS = 300;
const RESIGNATION_MS = 150;
const MS_PER_SECOND = 1_000;

/** Interval between connections that requests open to a backend server that is cut off, in milliseconds. */
const PROBE_INTERVAL_MS = 250;

/** Utilization up to which requests do not wait, and the wait added per unit of utilization above it, in milliseconds. */
const FREE_UTILIZATION = 0.5;
const WAIT_PER_UTILIZATION_MS = 400;

interface DaemonRun {
  readonly clock: StallingClock;
  readonly store: SimulatedStore;
  readonly tasks: OwnershipTasks;
  readonly balance: BalanceTask;
}

/** Simulates a VM with a backend server and the daemon tasks that manage key ownership. */
export class SimulatedVm {
  public readonly id: string;
  public readonly failureDomain: string;
  private readonly world: SimulatedWorld;
  /** Rate of the daemon clocks relative to real time. */
  private readonly clockRate: number;
  /** Factor by which work takes longer on this VM than usual. */
  private readonly slowdown: number;
  private daemon: DaemonRun | undefined;
  private server: SimulatedServer;
  private processCount = 0;
  private storePath: StorePath = 'open';
  /** Whether calls between this daemon and other daemons fail. */
  private isSeparated = false;
  /** Whether the backend server and the daemon are separated. */
  private isSplit = false;
  private refusesUntilMs = 0;
  /** Time until which the backend server is cut off and connections to it are refused. */
  private cutUntilMs = 0;

  public constructor(
    id: string,
    failureDomain: string,
    world: SimulatedWorld,
    clockRate: number,
    slowdown: number,
  ) {
    this.id = id;
    this.failureDomain = failureDomain;
    this.world = world;
    this.clockRate = clockRate;
    this.slowdown = slowdown;
    this.startDaemon();
    this.server = this.startServer();
  }

  /** Rows that the backend server holds now. */
  public get held(): readonly HeldRow[] {
    return this.server.held;
  }

  /** Rows that it holds or on which requests still run. */
  public get used(): readonly HeldRow[] {
    return [...this.server.held, ...this.server.working];
  }

  /** Passes a view of the store to the daemon, unless it cannot read the store now. */
  public receiveView(view: MeshView): void {
    const { daemon } = this;
    if (this.storePath === 'cut' || daemon?.clock.isPaused === true) return;
    daemon?.clock.run(() => {
      for (const { revision } of view.tables.values()) daemon.store.learnVersion(revision);
      daemon.tasks.applyView(view);
      daemon.balance.post({ type: 'view', view });
    });
  }

  public release(request: RangeReleaseRequest): void {
    const { daemon } = this;
    daemon?.clock.run(() => daemon.tasks.ranges.post({ type: 'release', requests: [request] }));
  }

  public stall(durationMs: number): void {
    this.daemon?.clock.stall(durationMs);
  }

  /** Suspends the VM with its daemon. */
  public suspend(durationMs: number): void {
    this.daemon?.clock.suspend(durationMs);
  }

  /** Reports the work of a request for a key to the daemon. */
  public demand(key: number, workMs: number): void {
    const { daemon } = this;
    daemon?.clock.run(() => daemon.tasks.ranges.post({ type: 'demanded', key, workMs }));
  }

  /** Changes the state of the connection to the store for some time. */
  public setPath(path: StorePath, durationMs: number): void {
    this.applyPath(path);
    this.world.clock.schedule(durationMs, () => this.applyPath('open'));
  }

  /** Separates the daemon from all other daemons for some time. */
  public separate(durationMs: number): void {
    this.isSeparated = true;
    this.world.clock.schedule(durationMs, () => {
      this.isSeparated = false;
    });
  }

  /** Separates the backend server from the daemon for some time; its announcements are lost or arrive late. */
  public split(durationMs: number): void {
    this.isSplit = true;
    const { server } = this;
    this.world.clock.schedule(durationMs, () => {
      this.isSplit = false;
      if (this.world.random.integer(2) === 0) server.repeat();
    });
  }

  /**
   * Separates the backend server from the daemon for some time, while requests of the daemon open connections to it, which
   * fail as `kind` says.
   */
  public cutOff(durationMs: number, kind: PresenceEvidence['kind']): void {
    const untilMs = this.world.clock.monotonicMs() + durationMs;
    if (kind === 'refused') this.cutUntilMs = untilMs;
    this.split(durationMs);
    this.probeUntil(untilMs);
  }

  /** Runs a further fault of this VM after a delay. */
  public after(delayMs: number, inject: () => void): void {
    this.world.clock.schedule(delayMs, inject);
  }

  /** Lets the backend server refuse new connections for some time while it keeps running. */
  public refuseConnections(durationMs: number): void {
    this.refusesUntilMs = this.world.clock.monotonicMs() + durationMs;
    this.probe();
  }

  /** Lets recent announcements of the current run arrive once more. */
  public repeatAnnouncements(): void {
    this.server.repeat();
  }

  /** Sends the withdrawal of the current run after a delay, although the run continues. */
  public withdraw(delayMs: number): void {
    const { bornMs } = this.server;
    this.world.clock.schedule(delayMs, () => {
      const { daemon } = this;
      daemon?.clock.run(() =>
        daemon.tasks.presence.post({
          type: 'withdrawn',
          instanceId: this.id,
          bornMs,
          reply: () => undefined,
        }),
      );
    });
  }

  /** Sends an announcement of another sender to the daemon. */
  public forge(announcement: Announcement): void {
    this.deliver(announcement, () => undefined);
  }

  /** Kills the daemon and starts it again. */
  public restartDaemon(downMs: number): void {
    const { daemon } = this;
    if (daemon === undefined) return;
    this.daemon = undefined;
    daemon.clock.end();
    daemon.tasks.stop();
    daemon.balance.stop();
    this.world.clock.schedule(downMs, () => this.startDaemon());
  }

  /** Shuts the daemon down gracefully and starts it again. */
  public stopDaemon(downMs: number): void {
    const { daemon } = this;
    daemon?.clock.run(() => {
      daemon.tasks.ranges.post({ type: 'stopping', reply: (isFree) => isFree && this.resign(daemon) });
      daemon.clock.schedule(RESIGNATION_MS, () => this.restartDaemon(downMs));
    });
  }

  /** Drains the backend server, ends it and starts it again. */
  public drainServer(drainMs: number, downMs: number): void {
    const { server } = this;
    server.drain();
    this.world.clock.schedule(drainMs, () => {
      if (this.server === server) this.restartServer(downMs);
    });
  }

  /** Crashes the backend server and starts it again; its port refuses connections meanwhile. */
  public restartServer(downMs: number): void {
    const { server } = this;
    if (!server.isRunning) return;
    server.crash();
    this.world.clock.schedule(this.world.random.integer(downMs), () => this.probe());
    this.world.clock.schedule(downMs, () => {
      this.server = this.startServer();
    });
  }

  private probeUntil(untilMs: number): void {
    if (this.world.clock.monotonicMs() >= untilMs) return;
    this.probe();
    this.world.clock.schedule(PROBE_INTERVAL_MS, () => this.probeUntil(untilMs));
  }

  /** Opens a connection to the backend server and reports a failure to the daemon. */
  private probe(): void {
    const { incarnation, isRunning } = this.server;
    const { daemon } = this;
    const nowMs = this.world.clock.monotonicMs();
    const isCut = nowMs < this.cutUntilMs;
    const isRefused = !isRunning || nowMs < this.refusesUntilMs;
    if (daemon === undefined || (!isRefused && !this.isSplit)) return;
    const kind = isCut || (isRefused && !this.isSplit) ? 'refused' : 'silent';
    daemon.clock.run(() => daemon.tasks.presence.post({ type: 'evidence', evidence: { kind, incarnation } }));
  }

  private resign(daemon: DaemonRun): void {
    daemon.tasks.lease.post({
      type: 'resign',
      reply: (value) => {
        for (const peer of this.world.listVms()) peer.receiveResignation(value);
      },
    });
  }

  private receiveResignation(value: unknown): void {
    const { daemon } = this;
    daemon?.clock.run(() => daemon.tasks.planner.post({ type: 'resigned', value }));
  }

  private applyPath(path: StorePath): void {
    this.storePath = path;
    if (this.daemon !== undefined) this.daemon.store.path = path;
  }

  private startServer(): SimulatedServer {
    const { clock, random } = this.world;
    return new SimulatedServer(this.id, clock.monotonicMs(), clock, random, (announcement, reply) =>
      this.deliver(announcement, (value) => {
        if (!this.isSplit) reply(value);
      }),
    );
  }

  private deliver(announcement: Announcement, reply: (reply: AnnouncementReply) => void): void {
    const { daemon } = this;
    if (this.isSplit) return;
    daemon?.clock.run(() => daemon.tasks.presence.post({ type: 'announced', announcement, reply }));
  }

  private startDaemon(): void {
    const clock = new StallingClock(this.world.clock, this.clockRate);
    const store = new SimulatedStore(this.id, this.world.store, clock, this.world.clock, this.world.random);
    const elapsed = new ElapsedClock(clock);
    const identity = { serverId: this.id, failureDomain: this.failureDomain, region: 'r', service: 's' };
    const call = (address: string, method: string, params: unknown, reply: (result: unknown) => void): void =>
      this.call(clock, address, method, params, reply);
    this.processCount += 1;
    const tasks = new OwnershipTasks({
      identity,
      processId: `${this.id}-${this.processCount}`,
      address: this.id,
      timings: defaultLeaseTimings,
      announceEveryMs: 870,
      store,
      clock,
      elapsed,
      createLogger: () => new Logger(this.id),
      isConfigured: (service) => service === 's',
      onPresence: () => undefined,
      onGranted: () => undefined,
      onFacts: (facts) => this.reportLoad(balance, facts),
      call,
    });
    const balance = new BalanceTask({
      identity,
      clock,
      logger: new Logger(this.id),
      call,
      onRelease: (requests) => tasks.ranges.post({ type: 'release', requests }),
    });
    store.setEraListener((change) => tasks.noteEra(change));
    this.daemon = { clock, store, tasks, balance };
    this.applyPath(this.storePath);
    clock.run(() => tasks.start());
  }

  /** Reports the load of the backend server. The wait grows with the utilization of its slots. */
  private reportLoad(balance: BalanceTask, facts: LeaseReport): void {
    const utilization = facts.workMsPerSecond / (facts.slots * MS_PER_SECOND);
    const load = {
      running: 0,
      queued: 0,
      slots: facts.slots,
      waitMs: Math.max(0, utilization - FREE_UTILIZATION) * WAIT_PER_UTILIZATION_MS,
      serviceMs: 1,
      slowdown: this.slowdown,
    };
    balance.post({ type: 'load', load, baseSlowdown: this.slowdown });
    balance.post({ type: 'facts', facts });
  }

  private call(
    clock: StallingClock,
    address: string,
    method: string,
    params: unknown,
    reply: (result: unknown) => void,
  ): void {
    const vm = this.world.listVms().find(({ id }) => id === address);
    const peer = this.isSeparated || vm?.isSeparated === true ? undefined : vm?.daemon;
    let isOpen = true;
    const end = (result: unknown): void => {
      if (isOpen) reply(result);
      isOpen = false;
    };
    clock.schedule(PING_TIMEOUT_MS, () => end(undefined));
    const respond = (result: unknown): void => clock.run(() => end(result));
    peer?.clock.run(() => {
      if (method === rpcMethods.release)
        peer.tasks.ranges.post({ type: 'release', requests: [params as RangeReleaseRequest] });
      if (method === rpcMethods.load) peer.balance.post({ type: 'asked', reply: respond });
      else peer.tasks.planner.post({ type: 'asked', reply: (plans) => respond({ plans }) });
    });
  }
}
