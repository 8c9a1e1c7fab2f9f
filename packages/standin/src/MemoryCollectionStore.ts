import { Left, Right, type Either } from 'purify-ts';
import { RouterError } from '#core/RouterError.js';
import type { CollectionChanges } from '#store/CollectionChanges.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import { CollectionStore } from '#store/CollectionStore.js';
import { StoreVersion } from '#store/StoreVersion.js';
import type { MemoryStoreBackup } from '#standin/MemoryStoreBackup.js';
import type { MemoryStoreFaultMode } from '#standin/MemoryStoreFaultMode.js';

type Result<T> = Promise<Either<RouterError, T>>;

/** In-memory collection store for tests. The fault mode that a test sets applies to all callers. */
export class MemoryCollectionStore extends CollectionStore {
  public faultMode: MemoryStoreFaultMode = 'none';
  /** Whether pending watches are not notified of changes. */
  public stallsWatches = false;
  /** Number of accepted writes. */
  public acceptedWrites = 0;
  /** How often the connections were replaced. */
  public replacements = 0;
  /** Number of conditional writes that were requested, accepted or not. */
  public putCalls = 0;
  private readonly collections = new Map<string, Map<string, CollectionItem>>();
  private revision = 1;
  private era = 0;
  private waitingWatches: readonly (() => void)[] = [];

  public override list(collection: string): Result<CollectionListing> {
    if (!this.answers()) return this.fail('storeUnreachable');
    const items = [...this.getCollection(collection).values()].map((item) => this.toVersioned(item));
    const revision = StoreVersion.combine(this.era, this.revision);
    return Promise.resolve(Right({ items, unreadable: [], revision }));
  }

  public override get(collection: string, name: string): Result<CollectionItem | undefined> {
    if (!this.answers()) return this.fail('storeUnreachable');
    return Promise.resolve(Right(this.read(collection, name)));
  }

  public override async watch(collection: string, revision: number): Result<CollectionChanges> {
    if (!this.answers()) return this.fail('storeUnreachable');
    if (StoreVersion.eraOf(revision) < this.era) return this.fail('storeHistoryLost');
    if (this.listItemsAfter(collection, revision).length === 0)
      await new Promise<void>((resolve) => {
        this.waitingWatches = [...this.waitingWatches, resolve];
      });
    if (!this.answers()) return this.fail('storeUnreachable');
    if (StoreVersion.eraOf(revision) < this.era) return this.fail('storeHistoryLost');
    const changes = this.listItemsAfter(collection, revision).map((item) => ({ item, deleted: false }));
    return Right({ changes, unreadable: [], revision: StoreVersion.combine(this.era, this.revision) });
  }

  public override put(
    collection: string,
    name: string,
    value: unknown,
    ifRevision: number,
  ): Result<CollectionPutResult> {
    this.putCalls += 1;
    if (!this.answers()) return this.fail('storeUnreachable');
    const current = this.read(collection, name);
    if ((current?.revision ?? 0) !== ifRevision) return Promise.resolve(Right({ type: 'conflict', current }));
    const item = this.set(collection, name, value);
    return this.faultMode === 'repliesLost'
      ? this.fail('storeReplyLost')
      : Promise.resolve(Right({ type: 'accepted', item }));
  }

  public override probe(): Result<undefined> {
    return this.answers() ? Promise.resolve(Right(undefined)) : this.fail('storeUnreachable');
  }

  public override replaceConnections(): void {
    this.replacements += 1;
  }

  public override close(): Promise<void> {
    this.notifyWatches();
    return Promise.resolve();
  }

  /** Writes an object without a condition, like another writer. If the value is the same, the revision stays. */
  public set(collection: string, name: string, value: unknown): CollectionItem {
    const current = this.getCollection(collection).get(name);
    if (current !== undefined && JSON.stringify(current.value) === JSON.stringify(value))
      return this.toVersioned(current);
    this.revision += 1;
    this.acceptedWrites += 1;
    const item: CollectionItem = {
      name,
      revision: this.revision,
      value: JSON.parse(JSON.stringify(value)) as unknown,
    };
    this.getCollection(collection).set(name, item);
    if (!this.stallsWatches) this.notifyWatches();
    return this.toVersioned(item);
  }

  /** Number of restores from a copy. */
  public get restores(): number {
    return this.era;
  }

  /** Removes an object without a condition; watches are not notified. */
  public remove(collection: string, name: string): void {
    this.revision += 1;
    this.getCollection(collection).delete(name);
  }

  /** Returns a copy to which the store can be restored. */
  public backUp(): MemoryStoreBackup {
    const { revision, collections } = this;
    return {
      revision,
      collections: new Map([...collections].map(([name, items]) => [name, new Map(items)])),
    };
  }

  /** Restores the store from a copy. Revisions go back and the era increases; the next answer reports it. */
  public restore({ revision, collections }: MemoryStoreBackup): void {
    this.era += 1;
    this.revision = revision;
    this.collections.clear();
    for (const [name, items] of collections) this.collections.set(name, new Map(items));
    this.notifyWatches();
  }

  /** Returns the current version of an object, in every fault mode. */
  public read(collection: string, name: string): CollectionItem | undefined {
    const item = this.getCollection(collection).get(name);
    return item === undefined ? undefined : this.toVersioned(item);
  }

  /** Whether calls are answered now. Each answer names the era. */
  private answers(): boolean {
    if (this.faultMode === 'down') return false;
    this.noteEra(this.era, 0);
    return true;
  }

  private toVersioned(item: CollectionItem): CollectionItem {
    return { ...item, revision: StoreVersion.combine(this.era, item.revision) };
  }

  private listItemsAfter(collection: string, revision: number): readonly CollectionItem[] {
    return [...this.getCollection(collection).values()]
      .map((item) => this.toVersioned(item))
      .filter((item) => item.revision > revision);
  }

  private getCollection(collection: string): Map<string, CollectionItem> {
    const found = this.collections.get(collection) ?? new Map<string, CollectionItem>();
    this.collections.set(collection, found);
    return found;
  }

  private notifyWatches(): void {
    const { waitingWatches } = this;
    this.waitingWatches = [];
    for (const notify of waitingWatches) notify();
  }

  private fail<T>(code: string): Result<T> {
    return Promise.resolve(
      Left(
        new RouterError(
          { code, step: 'store', peer: 'memory', ran: 'not run', status: 503 },
          'simulated store fault',
        ),
      ),
    );
  }
}
