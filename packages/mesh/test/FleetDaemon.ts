import type { Clock } from '#core/Clock.js';
import { Logger } from '#core/Logger.js';
import { RandomSource } from '#core/RandomSource.js';
import { hashKey } from '#core/HashKey.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import { ChangeFeedTask } from '#mesh/ChangeFeedTask.js';
import { createPeerCalls } from '#mesh/CreatePeerCalls.js';
import { DirectoryTask } from '#mesh/DirectoryTask.js';
import { FollowTask } from '#mesh/FollowTask.js';
import type { MeshView } from '#mesh/MeshView.js';
import { StoreLinkTask } from '#mesh/StoreLinkTask.js';
import type { FleetStore } from './FleetStore.js';
import { FleetStoreLink } from './FleetStoreLink.js';
import { RecordingLogger } from './RecordingLogger.js';
import { StallingClock } from './StallingClock.js';
import { VersionDecoder } from './VersionDecoder.js';

const STORE_DELAY_MS = 12;
const PEER_DELAY_MS = 1;

/** The tasks of one simulated daemon that read the store, and its links. */
export class FleetDaemon {
  public readonly serverId: string;
  public readonly failureDomain: string;
  /** Address for other daemons, derived from the number in the id. */
  public readonly address: string;
  public readonly link: FleetStoreLink;
  public readonly logger = new RecordingLogger('follow');
  public view: MeshView | undefined;
  /** Calls that it received from other daemons. */
  public received = 0;
  /** Whether its links to other daemons lose everything. */
  public isSeparated = false;
  /** Whether the process was killed. */
  public isEnded = false;
  /** Descriptions of states that went back. */
  public reversals: readonly string[] = [];
  private readonly clock: StallingClock;
  private readonly realClock: Clock;
  private readonly find: (address: string) => FleetDaemon | undefined;
  private readonly directory: DirectoryTask;
  private readonly feed: ChangeFeedTask;
  private readonly storeLink: StoreLinkTask;
  private readonly follow: FollowTask | undefined;
  private readonly calls: ReturnType<typeof createPeerCalls>;

  public constructor(
    serverId: string,
    failureDomain: string,
    store: FleetStore,
    realClock: Clock,
    follows: boolean,
    find: (address: string) => FleetDaemon | undefined,
  ) {
    this.serverId = serverId;
    this.failureDomain = failureDomain;
    this.address = `10.0.${Number(serverId.slice('vm-'.length))}.1:1`;
    this.find = find;
    this.realClock = realClock;
    this.clock = new StallingClock(realClock);
    this.link = new FleetStoreLink(store, this.clock, realClock, STORE_DELAY_MS);
    this.feed = new ChangeFeedTask(this.clock, new MetricsRecorder());
    this.directory = new DirectoryTask(
      this.link,
      new VersionDecoder(),
      this.clock,
      new Logger('fleet'),
      (report) => this.feed.post(report),
    );
    this.storeLink = new StoreLinkTask({
      store: this.link,
      clock: this.clock,
      logger: new Logger('fleet'),
      onReplaced: () => this.directory.post({ type: 'reconnected' }),
      onConfirmed: (sentMs) => this.directory.post({ type: 'confirmed', sentMs }),
    });
    this.follow = follows ? this.createFollow() : undefined;
    const unused = (): never => {
      throw new Error('not used');
    };
    this.calls = createPeerCalls(serverId, {
      describePlanner: unused,
      describeLoad: unused,
      onResigned: unused,
      onCancel: unused,
      onRelease: unused,
      onMarks: unused,
      onQuota: unused,
      readChanges: (request) => this.feed.ask((reply) => ({ type: 'asked', request, reply })),
    });
  }

  /** Version of the configuration in force. */
  public get version(): number {
    return this.view?.routes?.table.version ?? 0;
  }

  /** Whether the daemon watches the store itself, by the last line of its log. */
  public get isReader(): boolean {
    const last = this.logger.records.findLast(({ event }) => event === 'follows' || event === 'readsStore');
    return last?.event !== 'follows';
  }

  public start(): void {
    this.directory.post({ type: 'subscribe', listener: (view) => this.noteView(view) });
    this.storeLink.start();
    this.directory.start();
  }

  public freeze(durationMs: number): void {
    this.clock.stall(durationMs);
  }

  public kill(): void {
    this.isEnded = true;
    this.clock.end();
    for (const task of [this.directory, this.feed, this.storeLink, this.follow]) task?.stop();
  }

  /** Ends the feed as a planned stop does. */
  public endFeed(): void {
    this.feed.post({ type: 'ending' });
  }

  public hint(revisions: readonly number[]): void {
    this.directory.post({ type: 'hint', revisions });
    this.follow?.post({ type: 'hint', revisions });
  }

  /** Handles a call of another daemon. */
  public receive(method: string, params: unknown, reply: (result: unknown) => void): void {
    this.clock.run(() => {
      this.received += 1;
      void Promise.resolve(this.calls[method]?.(params)).then((result) =>
        this.clock.run(() => reply(JSON.parse(JSON.stringify(result)))),
      );
    });
  }

  private createFollow(): FollowTask {
    return new FollowTask({
      identity: {
        serverId: this.serverId,
        failureDomain: this.failureDomain,
        region: 'r',
        service: 's',
      },
      clock: this.clock,
      logger: this.logger,
      metrics: new MetricsRecorder(),
      random: new RandomSource(hashKey(this.serverId)),
      call: (address, method, params, _isLongPoll, reply) => this.call(address, method, params, reply),
      readPositions: (reply) => this.directory.post({ type: 'positions', reply }),
      onFollowed: (updates) => {
        this.storeLink.post({ type: 'pause' });
        this.directory.post({ type: 'followed', updates });
      },
      probeStore: (reply) => {
        void this.link.probe('new').then((result) => reply(result.isRight()));
      },
      onDirect: () => {
        // Connections from before may have gone silent, which no probe has checked meanwhile.
        this.link.replaceConnections();
        this.directory.post({ type: 'direct' });
        this.storeLink.post({ type: 'resume' });
      },
    });
  }

  private call(address: string, method: string, params: unknown, reply: (result: unknown) => void): void {
    const target = this.find(address);
    const deliver = (send: () => void): void => {
      this.realClock.schedule(PEER_DELAY_MS, () => {
        if (!this.isSeparated && target?.isSeparated !== true) send();
      });
    };
    deliver(() => {
      if (target === undefined || target.isEnded) deliver(() => this.clock.run(() => reply(undefined)));
      else
        target.receive(method, JSON.parse(JSON.stringify(params)), (result) =>
          deliver(() => this.clock.run(() => reply(result))),
        );
    });
  }

  private noteView(view: MeshView): void {
    const before = this.view;
    this.view = view;
    this.follow?.post({ type: 'view', view });
    for (const [name, { slots }] of view.servers) {
      const known = before?.servers.get(name)?.slots ?? 0;
      if (slots < known) this.reversals = [...this.reversals, `${name}: ${known} to ${slots}`];
    }
  }
}
