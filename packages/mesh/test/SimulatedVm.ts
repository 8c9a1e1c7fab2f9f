import { Logger } from '#core/Logger.js';
import type { ManualClock } from '#core/ManualClock.js';
import type { RandomSource } from '#core/RandomSource.js';
import { defaultLeaseTerms } from '#ranges/DefaultLeaseTerms.js';
import { ElapsedClock } from '#ranges/ElapsedClock.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import { PlannerTask } from '#mesh/PlannerTask.js';
import { PresenceTask } from '#mesh/PresenceTask.js';
import { RangeLeaseTask } from '#mesh/RangeLeaseTask.js';
import { rpcMethods } from '#mesh/RpcMethods.js';
import { RangeTask } from '#mesh/RangeTask.js';
import type { ReleaseRequest } from '#mesh/ReleaseRequest.js';
import type { View } from '#mesh/View.js';
import type { MemoryCollectionStore } from '#standin/MemoryCollectionStore.js';
import { SimulatedServer } from './SimulatedServer.js';
import { SimulatedStore } from './SimulatedStore.js';
import { StallingClock } from './StallingClock.js';

const PING_TIMEOUT_MS = 300;
const RESIGN_MS = 150;

interface DaemonRun {
  readonly clock: StallingClock;
  readonly store: SimulatedStore;
  readonly presence: PresenceTask;
  readonly ranges: RangeTask;
  readonly lease: RangeLeaseTask;
  readonly planner: PlannerTask;
}

/** A VM with a backend server and the tasks of a daemon that decide on ownership of keys. */
export class SimulatedVm {
  public readonly id: string;
  public readonly failureDomain: string;
  private readonly clock: ManualClock;
  private readonly memory: MemoryCollectionStore;
  private readonly random: RandomSource;
  private readonly listPeers: () => readonly SimulatedVm[];
  private daemon: DaemonRun | undefined;
  private server: SimulatedServer;
  private processes = 0;
  private isCut = false;
  private isLate = false;

  public constructor(
    id: string,
    failureDomain: string,
    clock: ManualClock,
    memory: MemoryCollectionStore,
    random: RandomSource,
    listPeers: () => readonly SimulatedVm[],
  ) {
    this.id = id;
    this.failureDomain = failureDomain;
    this.clock = clock;
    this.memory = memory;
    this.random = random;
    this.listPeers = listPeers;
    this.startDaemon();
    this.server = this.startServer();
  }

  /** Keys that the backend server holds now. */
  public get held(): readonly HeldRow[] {
    return this.server.held;
  }

  /** Keys that it holds or still works on. */
  public get used(): readonly HeldRow[] {
    return [...this.server.held, ...this.server.working];
  }

  public see(view: View): void {
    const { daemon } = this;
    if (this.isCut) return;
    daemon?.clock.run(() => {
      daemon.ranges.post({ type: 'view', view });
      daemon.planner.post({ type: 'view', view });
    });
  }

  public release(request: ReleaseRequest): void {
    const { daemon } = this;
    daemon?.clock.run(() => daemon.ranges.post({ type: 'release', requests: [request] }));
  }

  public stall(durationMs: number): void {
    this.daemon?.clock.stall(durationMs);
  }

  /** Separates the daemon from the store. */
  public cut(durationMs: number): void {
    this.setPath(true, this.isLate);
    this.clock.schedule(durationMs, () => this.setPath(false, this.isLate));
  }

  /** Lets the store carry writes of the daemon out late. */
  public delayWrites(durationMs: number): void {
    this.setPath(this.isCut, true);
    this.clock.schedule(durationMs, () => this.setPath(this.isCut, false));
  }

  /** Kills the daemon and starts it again. */
  public restartDaemon(downMs: number): void {
    const { daemon } = this;
    if (daemon === undefined) return;
    this.daemon = undefined;
    daemon.clock.end();
    for (const task of [daemon.presence, daemon.ranges, daemon.lease, daemon.planner]) task.stop();
    this.clock.schedule(downMs, () => this.startDaemon());
  }

  /** Stops the daemon in order and starts it again. */
  public stopDaemon(downMs: number): void {
    const { daemon } = this;
    daemon?.clock.run(() => {
      daemon.ranges.post({ type: 'stopping', reply: (isFree) => isFree && this.resign(daemon) });
      daemon.clock.schedule(RESIGN_MS, () => this.restartDaemon(downMs));
    });
  }

  /** Drains the backend server, ends it and starts it again. */
  public drainServer(drainMs: number, downMs: number): void {
    const { server } = this;
    server.drain();
    this.clock.schedule(drainMs, () => {
      if (this.server === server) this.restartServer(downMs);
    });
  }

  /** Crashes the backend server and starts it again; its port refuses connections meanwhile. */
  public restartServer(downMs: number): void {
    const { incarnation, isRunning } = this.server;
    if (!isRunning) return;
    this.server.crash();
    const tell = (): void => {
      const { daemon } = this;
      daemon?.clock.run(() =>
        daemon.presence.post({ type: 'evidence', evidence: { kind: 'refused', incarnation } }),
      );
    };
    this.clock.schedule(this.random.integer(downMs), tell);
    this.clock.schedule(downMs, () => {
      this.server = this.startServer();
    });
  }

  private resign(daemon: DaemonRun): void {
    daemon.lease.post({
      type: 'resign',
      reply: (value) => {
        for (const peer of this.listPeers()) peer.hearResignation(value);
      },
    });
  }

  private hearResignation(value: unknown): void {
    const { daemon } = this;
    daemon?.clock.run(() => daemon.planner.post({ type: 'resigned', value }));
  }

  private setPath(isCut: boolean, isLate: boolean): void {
    this.isCut = isCut;
    this.isLate = isLate;
    if (this.daemon === undefined) return;
    this.daemon.store.isCut = isCut;
    this.daemon.store.isLate = isLate;
  }

  private startServer(): SimulatedServer {
    return new SimulatedServer(
      this.id,
      this.clock.monotonicMs(),
      this.clock,
      this.random,
      (announcement, reply) => {
        const { daemon } = this;
        daemon?.clock.run(() => daemon.presence.post({ type: 'announced', announcement, reply }));
      },
    );
  }

  private startDaemon(): void {
    const clock = new StallingClock(this.clock);
    const store = new SimulatedStore(this.memory, clock, this.clock, this.random);
    const elapsed = new ElapsedClock(clock);
    const place = { serverId: this.id, failureDomain: this.failureDomain, region: 'r', service: 's' };
    const logger = new Logger(this.id);
    const terms = defaultLeaseTerms;
    this.processes += 1;
    const processId = `${this.id}-${this.processes}`;
    const ranges: RangeTask = new RangeTask({
      place,
      terms,
      announceEveryMs: 870,
      store,
      clock,
      elapsed,
      logger,
      onGranted: () => undefined,
      onKeyed: () => lease.post({ type: 'hold' }),
      onFacts: (facts) => lease.post({ type: 'facts', facts }),
    });
    const lease: RangeLeaseTask = new RangeLeaseTask({
      place,
      processId,
      terms,
      store,
      clock,
      elapsed,
      logger,
      onLease: (held) => {
        ranges.post({ type: 'lease', lease: held });
        presence.post({ type: 'term', term: held.term });
      },
    });
    const planner = new PlannerTask({
      place,
      terms,
      store,
      clock,
      logger,
      call: (address, method, params, reply) => this.call(clock, address, method, params, reply),
    });
    const presence: PresenceTask = new PresenceTask({
      place,
      processId,
      address: this.id,
      announceEveryMs: 870,
      store,
      clock,
      logger,
      isConfigured: () => true,
      onPresence: () => undefined,
      onCheckIn: (checkIn) => ranges.post({ type: 'checkIn', checkIn }),
      onEnded: (incarnation, proven) => ranges.post({ type: 'ended', incarnation, proven }),
    });
    this.daemon = { clock, store, presence, ranges, lease, planner };
    this.setPath(this.isCut, this.isLate);
  }

  private call(
    clock: StallingClock,
    address: string,
    method: string,
    params: unknown,
    reply: (result: unknown) => void,
  ): void {
    const peer = this.listPeers().find(({ id }) => id === address)?.daemon;
    let isOpen = true;
    const end = (result: unknown): void => {
      if (isOpen) reply(result);
      isOpen = false;
    };
    clock.schedule(PING_TIMEOUT_MS, () => end(undefined));
    peer?.clock.run(() => {
      if (method === rpcMethods.release)
        peer.ranges.post({ type: 'release', requests: [params as ReleaseRequest] });
      peer.planner.post({
        type: 'asked',
        reply: (plans) => clock.run(() => end({ plans })),
      });
    });
  }
}
