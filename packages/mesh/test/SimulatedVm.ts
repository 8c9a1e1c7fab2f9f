import { Logger } from '#core/Logger.js';
import type { ManualClock } from '#core/ManualClock.js';
import type { RandomSource } from '#core/RandomSource.js';
import { defaultLeaseTerms } from '#ranges/DefaultLeaseTerms.js';
import { ElapsedClock } from '#ranges/ElapsedClock.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import { OwnershipTasks } from '#mesh/OwnershipTasks.js';
import { rpcMethods } from '#mesh/RpcMethods.js';
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
  readonly tasks: OwnershipTasks;
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
    daemon?.clock.run(() => daemon.tasks.applyView(view));
  }

  public release(request: ReleaseRequest): void {
    const { daemon } = this;
    daemon?.clock.run(() => daemon.tasks.ranges.post({ type: 'release', requests: [request] }));
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
    daemon.tasks.stop();
    this.clock.schedule(downMs, () => this.startDaemon());
  }

  /** Stops the daemon in order and starts it again. */
  public stopDaemon(downMs: number): void {
    const { daemon } = this;
    daemon?.clock.run(() => {
      daemon.tasks.ranges.post({ type: 'stopping', reply: (isFree) => isFree && this.resign(daemon) });
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
        daemon.tasks.presence.post({ type: 'evidence', evidence: { kind: 'refused', incarnation } }),
      );
    };
    this.clock.schedule(this.random.integer(downMs), tell);
    this.clock.schedule(downMs, () => {
      this.server = this.startServer();
    });
  }

  private resign(daemon: DaemonRun): void {
    daemon.tasks.lease.post({
      type: 'resign',
      reply: (value) => {
        for (const peer of this.listPeers()) peer.hearResignation(value);
      },
    });
  }

  private hearResignation(value: unknown): void {
    const { daemon } = this;
    daemon?.clock.run(() => daemon.tasks.planner.post({ type: 'resigned', value }));
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
        daemon?.clock.run(() => daemon.tasks.presence.post({ type: 'announced', announcement, reply }));
      },
    );
  }

  private startDaemon(): void {
    const clock = new StallingClock(this.clock);
    const store = new SimulatedStore(this.memory, clock, this.clock, this.random);
    const elapsed = new ElapsedClock(clock);
    this.processes += 1;
    const tasks = new OwnershipTasks({
      place: { serverId: this.id, failureDomain: this.failureDomain, region: 'r', service: 's' },
      processId: `${this.id}-${this.processes}`,
      address: this.id,
      terms: defaultLeaseTerms,
      announceEveryMs: 870,
      store,
      clock,
      elapsed,
      createLogger: () => new Logger(this.id),
      isConfigured: () => true,
      onPresence: () => undefined,
      onGranted: () => undefined,
      onFacts: () => undefined,
      call: (address, method, params, reply) => this.call(clock, address, method, params, reply),
    });
    this.daemon = { clock, store, tasks };
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
        peer.tasks.ranges.post({ type: 'release', requests: [params as ReleaseRequest] });
      peer.tasks.planner.post({
        type: 'asked',
        reply: (plans) => clock.run(() => end({ plans })),
      });
    });
  }
}
