import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { RandomSource } from '#core/RandomSource.js';
import type { BackendEvent } from '#fixtures/BackendEvent.js';
import { BackendServer } from '#fixtures/BackendServer.js';
import { createDaemonEndpoints } from '#fixtures/CreateDaemonEndpoints.js';
import type { DaemonEndpoints } from '#fixtures/DaemonEndpoints.js';
import { DaemonProcess } from '#fixtures/DaemonProcess.js';
import { StoreServer } from '#fixtures/StoreServer.js';
import { translateAddresses } from '#fixtures/TranslateAddresses.js';
import { PacedLink } from './PacedLink.js';

const START_TIMEOUT_MS = 20_000;

/** Time in which instances check in, so that each daemon knows all of them. */
const SETTLE_MS = 2_000;

/** Objects on one page of the store. */
const PAGE_SIZE = 500;

interface FleetOptions {
  readonly manifest: unknown;
  readonly count: number;
  readonly seed: number;
  /** Rate of the link of each VM to the others. */
  readonly linkBytesPerSecond: number;
}

/** Daemons as separate processes, each with an instance, and the stand-ins around them. */
export class StartedFleet {
  public readonly endpoints: readonly DaemonEndpoints[];
  public readonly daemons: readonly DaemonProcess[];
  private readonly directory = mkdtempSync(join(tmpdir(), 'review-'));
  private readonly seen: BackendEvent[] = []; // eslint-disable-line no-restricted-syntax -- grows during the run
  private readonly ends: string[] = []; // eslint-disable-line no-restricted-syntax -- grows during the run
  private readonly store: StoreServer;
  private readonly links: readonly PacedLink[];
  private readonly backends: readonly BackendServer[];

  private constructor(endpoints: readonly DaemonEndpoints[], { seed, linkBytesPerSecond }: FleetOptions) {
    const random = new RandomSource(seed);
    const fork = (): RandomSource => new RandomSource(random.integer(0x7fff_ffff));
    const sink = { now: () => performance.now(), add: (event: BackendEvent) => void this.seen.push(event) };
    this.endpoints = endpoints;
    // Each daemon reads the addresses of the others as those of its own link.
    this.store = new StoreServer(
      endpoints.map((each) => each.storeRelay),
      fork(),
      {
        translate: (text, reader, direction) => translateAddresses(text, endpoints, reader, direction),
        pageSize: PAGE_SIZE,
      },
    );
    this.links = endpoints.map((each) => createLink(each, endpoints, linkBytesPerSecond));
    this.backends = endpoints.map((each) => new BackendServer(each, sink, fork()));
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
  public static async start(options: FleetOptions): Promise<StartedFleet> {
    const fleet = new StartedFleet(await createDaemonEndpoints(options.count), options);
    if (await fleet.open(options.manifest)) return fleet;
    await fleet.stop();
    throw new Error('a daemon did not become ready');
  }

  /** Ends all processes and stand-ins. */
  public async stop(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.end(false)));
    for (const backend of this.backends) backend.stop();
    this.store.stop();
    for (const link of this.links) link.close();
    rmSync(this.directory, { recursive: true });
  }

  private async open(manifest: unknown): Promise<boolean> {
    await this.store.listen();
    await Promise.all(this.links.map((link) => link.open()));
    this.store.objects.set('config', 'main', manifest);
    for (const backend of this.backends) backend.post({ type: 'start', sameId: false });
    await Promise.all(this.daemons.map((daemon) => daemon.start()));
    const ready = await Promise.all(this.daemons.map((daemon) => daemon.waitReady(START_TIMEOUT_MS)));
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    return !ready.includes(false);
  }
}

function createLink(
  { index, peerRelays }: DaemonEndpoints,
  endpoints: readonly DaemonEndpoints[],
  bytesPerSecond: number,
): PacedLink {
  const routes = endpoints.flatMap(({ index: other, orders }) => {
    const address = peerRelays[other];
    return other === index || address === undefined ? [] : [{ address, target: orders }];
  });
  return new PacedLink(routes, bytesPerSecond);
}
