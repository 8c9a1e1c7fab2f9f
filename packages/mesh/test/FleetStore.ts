import type { Clock } from '#core/Clock.js';
import type { CollectionChange } from '#store/CollectionChange.js';
import type { CollectionChanges } from '#store/CollectionChanges.js';
import type { CollectionListing } from '#store/CollectionListing.js';

/** Calls that the store of a simulated fleet has received. */
interface FleetStoreCalls {
  readonly lists: number;
  readonly watches: number;
  readonly probes: number;
  /** Length of all replies in characters. */
  readonly bytes: number;
}

/** Store of a simulated fleet with working watches, which counts its calls. */
export class FleetStore {
  public calls: FleetStoreCalls = { lists: 0, watches: 0, probes: 0, bytes: 0 };
  /** Calls that daemons sent, whether or not they arrived. */
  public attempts = 0;
  /** Whether the store drops all calls. */
  public isDown = false;
  private readonly clock: Clock;
  private readonly objects = new Map<string, Map<string, CollectionChange>>();
  private waiting: readonly (() => void)[] = [];
  private revision = 1;

  public constructor(clock: Clock) {
    this.clock = clock;
  }

  public set(collection: string, name: string, value: unknown): number {
    this.revision += 1;
    this.find(collection).set(name, { item: { name, revision: this.revision, value }, deleted: false });
    this.notify();
    return this.revision;
  }

  public delete(collection: string, name: string): void {
    this.revision += 1;
    const item = { name, revision: this.revision, value: undefined };
    this.find(collection).set(name, { item, deleted: true });
    this.notify();
  }

  public list(collection: string): CollectionListing {
    this.calls = { ...this.calls, lists: this.calls.lists + 1 };
    const items = [...this.find(collection).values()]
      .filter(({ deleted }) => !deleted)
      .map(({ item }) => item);
    this.countBytes(items);
    return { items, unreadable: [], revision: this.revision };
  }

  public async watch(collection: string, revision: number, waitMs: number): Promise<CollectionChanges> {
    this.calls = { ...this.calls, watches: this.calls.watches + 1 };
    const untilMs = this.clock.monotonicMs() + waitMs;
    let changes = this.listAfter(collection, revision);
    while (changes.length === 0 && this.clock.monotonicMs() < untilMs) {
      await new Promise<void>((resolve) => {
        this.waiting = [...this.waiting, resolve];
        this.clock.schedule(untilMs - this.clock.monotonicMs(), resolve);
      });
      changes = this.listAfter(collection, revision);
    }
    this.countBytes(changes);
    return { changes, unreadable: [], revision: this.revision };
  }

  public probe(): void {
    this.calls = { ...this.calls, probes: this.calls.probes + 1 };
  }

  private countBytes(value: unknown): void {
    this.calls = { ...this.calls, bytes: this.calls.bytes + JSON.stringify(value).length };
  }

  private listAfter(collection: string, revision: number): readonly CollectionChange[] {
    return [...this.find(collection).values()].filter(({ item }) => item.revision > revision);
  }

  private find(collection: string): Map<string, CollectionChange> {
    const found = this.objects.get(collection) ?? new Map<string, CollectionChange>();
    this.objects.set(collection, found);
    return found;
  }

  private notify(): void {
    const { waiting } = this;
    this.waiting = [];
    for (const resolve of waiting) resolve();
  }
}
