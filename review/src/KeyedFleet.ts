import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { RandomSource } from '#core/RandomSource.js';
import type { BackendEvent } from '#fixtures/BackendEvent.js';
import { BackendServer } from '#fixtures/BackendServer.js';
import { createDaemonEndpoints } from '#fixtures/CreateDaemonEndpoints.js';
import { createManifest } from '#fixtures/CreateManifest.js';
import type { DaemonEndpoints } from '#fixtures/DaemonEndpoints.js';
import { DaemonProcess } from '#fixtures/DaemonProcess.js';
import type { RequestClass } from '#fixtures/RequestClass.js';
import { StoreServer } from '#fixtures/StoreServer.js';
import { InstanceLink } from './InstanceLink.js';

const START_TIMEOUT_MS = 20_000;

/** Objects on one page of the store. */
const PAGE_SIZE = 500;

/** Daemons as separate processes, each with an instance behind a link that can be cut. The first half serves keys. */
export class KeyedFleet {
  public readonly endpoints: readonly DaemonEndpoints[];
  public readonly links: readonly InstanceLink[];
  private readonly directory = mkdtempSync(join(tmpdir(), 'review-'));
  private readonly seen: BackendEvent[] = []; // eslint-disable-line no-restricted-syntax -- grows during the run
  private readonly ends: string[] = []; // eslint-disable-line no-restricted-syntax -- grows during the run
  private readonly store: StoreServer;
  private readonly daemons: readonly DaemonProcess[];
  private readonly backends: readonly BackendServer[];

  private constructor(endpoints: readonly DaemonEndpoints[], seed: number) {
    const random = new RandomSource(seed);
    const fork = (): RandomSource => new RandomSource(random.integer(0x7fff_ffff));
    const sink = { now: () => performance.now(), add: (event: BackendEvent) => void this.seen.push(event) };
    this.endpoints = endpoints;
    this.store = new StoreServer(
      endpoints.map((each) => each.storeRelay),
      fork(),
      { pageSize: PAGE_SIZE },
    );
    this.links = endpoints.map((each) => {
      const [front = each.store, checkIns = each.store] = each.peerRelays;
      return new InstanceLink(each, front, checkIns);
    });
    this.backends = this.links.map((each) => new BackendServer(each.endpoints, sink, fork()));
    this.daemons = endpoints.map(
      (each) =>
        new DaemonProcess(
          each,
          this.directory,
          () => Promise.resolve(),
          (detail) => this.ends.push(`daemon ${each.index}: ${detail}`),
        ),
    );
  }

  /** What the instances saw. */
  public get events(): readonly BackendEvent[] {
    return this.seen;
  }

  /** Ends of daemons that nobody asked for. */
  public get exits(): readonly string[] {
    return this.ends;
  }

  /** Starts daemons with the command of the deploy file; rejects if one does not become ready. */
  public static async start(
    count: number,
    seed: number,
    classes: readonly RequestClass[],
  ): Promise<KeyedFleet> {
    const fleet = new KeyedFleet(await createDaemonEndpoints(count), seed);
    if (await fleet.open(classes)) return fleet;
    await fleet.stop();
    throw new Error('a daemon did not become ready');
  }

  /** Ends all processes and stand-ins. */
  public async stop(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.end(false)));
    for (const backend of this.backends) backend.stop();
    for (const link of this.links) link.stop();
    this.store.stop();
    rmSync(this.directory, { recursive: true });
  }

  private async open(classes: readonly RequestClass[]): Promise<boolean> {
    await this.store.listen();
    await Promise.all(this.links.map((link) => link.open()));
    this.store.objects.set('config', 'main', createManifest(1, classes));
    for (const backend of this.backends) backend.post({ type: 'start', sameId: false });
    await Promise.all(this.daemons.map((daemon) => daemon.start()));
    const ready = await Promise.all(this.daemons.map((daemon) => daemon.waitReady(START_TIMEOUT_MS)));
    return !ready.includes(false);
  }
}
