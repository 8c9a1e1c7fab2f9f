import { ManualClock } from '#core/ManualClock.js';
import { createEntry } from './CreateEntry.js';
import { FleetDaemon } from './FleetDaemon.js';
import { FleetStore } from './FleetStore.js';

const STEP_MS = 5;

/** Time after which the daemons of a started fleet have chosen their sources, in milliseconds. */
const SETTLE_MS = 4_000;

/** A fleet of daemons that read a simulated store over simulated links. */
export class FleetRun {
  public readonly clock = new ManualClock();
  public readonly store = new FleetStore(this.clock);
  public readonly daemons: readonly FleetDaemon[];
  private version = 1;

  /** Creates `perDomain` daemons in each of `domains` failure domains. Without `follows`, all of them watch the store. */
  public constructor(domains: number, perDomain: number, follows = true) {
    const names = Array.from({ length: domains * perDomain }, (_none, index) => index);
    this.daemons = names.map(
      (index) =>
        new FleetDaemon(`vm-${index}`, `d${index % domains}`, this.store, this.clock, follows, (address) =>
          this.daemons.find((each) => each.address === address),
        ),
    );
    this.store.set('routes', 'main', this.version);
    for (const daemon of this.daemons) this.announce(daemon, 1);
  }

  public async start(): Promise<void> {
    for (const daemon of this.daemons) daemon.start();
    await this.advance(SETTLE_MS);
  }

  public async advance(durationMs: number): Promise<void> {
    for (let leftMs = durationMs; leftMs > 0; leftMs -= STEP_MS) {
      this.clock.advance(Math.min(STEP_MS, leftMs));
      // Timers that wait for sockets run in the second turn.
      for (let turn = 0; turn < 3; turn += 1) await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** Writes a daemon's entry. */
  public announce({ serverId, failureDomain, address }: FleetDaemon, slots: number): void {
    const entry = createEntry(serverId, { address, failureDomain, slots });
    this.store.set('servers', serverId, entry);
  }

  public find(serverId: string): FleetDaemon {
    const daemon = this.daemons.find((each) => each.serverId === serverId);
    if (daemon === undefined) throw new Error(`no daemon ${serverId}`);
    return daemon;
  }

  /** Lists the daemons of a failure domain that read the store, or that do not. */
  public list(failureDomain: string, isReader: boolean): readonly FleetDaemon[] {
    return this.daemons.filter((each) => each.failureDomain === failureDomain && each.isReader === isReader);
  }

  /** Writes the next configuration, and returns after how many milliseconds it is in force on all of `daemons`. */
  public async publish(daemons: readonly FleetDaemon[], limitMs: number): Promise<number> {
    this.version += 1;
    const { version } = this;
    this.store.set('routes', 'main', version);
    return this.measure(limitMs, () => daemons.every((daemon) => daemon.version >= version));
  }

  /** Returns after how many milliseconds a condition holds; Infinity if not within `limitMs`. */
  public async measure(limitMs: number, isDone: () => boolean): Promise<number> {
    const startMs = this.clock.monotonicMs();
    while (!isDone()) {
      if (this.clock.monotonicMs() - startMs > limitMs) return Infinity;
      await this.advance(STEP_MS);
    }
    return this.clock.monotonicMs() - startMs;
  }
}
