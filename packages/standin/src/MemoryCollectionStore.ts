import { Left, Right, type Either } from 'purify-ts';
import { RouterError } from '#core/RouterError.js';
import type { CollectionChanges } from '#store/CollectionChanges.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import { CollectionStore } from '#store/CollectionStore.js';
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
  private waitingWatches: readonly (() => void)[] = [];

  public override list(collection: string): Result<CollectionListing> {
    if (this.faultMode === 'down') return this.fail('storeUnreachable');
    const items = [...this.getCollection(collection).values()];
    return Promise.resolve(Right({ items, unreadable: [], revision: this.revision }));
  }

  public override get(collection: string, name: string): Result<CollectionItem | undefined> {
    if (this.faultMode === 'down') return this.fail('storeUnreachable');
    return Promise.resolve(Right(this.getCollection(collection).get(name)));
  }

  public override async watch(collection: string, revision: number): Result<CollectionChanges> {
    if (this.faultMode === 'down') return this.fail('storeUnreachable');
    if (this.listItemsAfter(collection, revision).length === 0)
      await new Promise<void>((resolve) => {
        this.waitingWatches = [...this.waitingWatches, resolve];
      });
    const changes = this.listItemsAfter(collection, revision).map((item) => ({ item, deleted: false }));
    return Right({ changes, unreadable: [], revision: this.revision });
  }

  public override put(
    collection: string,
    name: string,
    value: unknown,
    ifRevision: number,
  ): Result<CollectionPutResult> {
    this.putCalls += 1;
    if (this.faultMode === 'down') return this.fail('storeUnreachable');
    const current = this.getCollection(collection).get(name);
    if ((current?.revision ?? 0) !== ifRevision) return Promise.resolve(Right({ type: 'conflict', current }));
    const item = this.set(collection, name, value);
    return this.faultMode === 'repliesLost'
      ? this.fail('storeReplyLost')
      : Promise.resolve(Right({ type: 'accepted', item }));
  }

  public override probe(): Result<undefined> {
    return this.faultMode === 'down' ? this.fail('storeUnreachable') : Promise.resolve(Right(undefined));
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
    if (current !== undefined && JSON.stringify(current.value) === JSON.stringify(value)) return current;
    this.revision += 1;
    this.acceptedWrites += 1;
    const item: CollectionItem = {
      name,
      revision: this.revision,
      value: JSON.parse(JSON.stringify(value)) as unknown,
    };
    this.getCollection(collection).set(name, item);
    if (!this.stallsWatches) this.notifyWatches();
    return item;
  }

  /** Returns the current version of an object, in every fault mode. */
  public read(collection: string, name: string): CollectionItem | undefined {
    return this.getCollection(collection).get(name);
  }

  private listItemsAfter(collection: string, revision: number): readonly CollectionItem[] {
    return [...this.getCollection(collection).values()].filter((item) => item.revision > revision);
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
