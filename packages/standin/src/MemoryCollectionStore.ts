import { Left, Right, type Either } from 'purify-ts';
import { RouterError } from '#core/RouterError.js';
import type { CollectionChanges } from '#store/CollectionChanges.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import { CollectionStore } from '#store/CollectionStore.js';
import type { MemoryStoreFaultMode } from '#standin/MemoryStoreFaultMode.js';

type Result<T> = Promise<Either<RouterError, T>>;

/** A collection store in memory, for tests. Its trouble is set from outside and holds for all callers. */
export class MemoryCollectionStore extends CollectionStore {
  public trouble: MemoryStoreFaultMode = 'none';
  /** Whether waiting watches hear nothing of changes. */
  public isSilent = false;
  /** Number of accepted writes. */
  public writes = 0;
  /** Number of conditional writes that were asked for. */
  public puts = 0;
  private readonly collections = new Map<string, Map<string, CollectionItem>>();
  private revision = 1;
  private waiters: readonly (() => void)[] = [];

  public override list(collection: string): Result<CollectionListing> {
    if (this.trouble === 'down') return this.fail('storeUnreachable');
    const items = [...this.find(collection).values()];
    return Promise.resolve(Right({ items, unreadable: [], revision: this.revision }));
  }

  public override get(collection: string, name: string): Result<CollectionItem | undefined> {
    if (this.trouble === 'down') return this.fail('storeUnreachable');
    return Promise.resolve(Right(this.find(collection).get(name)));
  }

  public override async watch(collection: string, revision: number): Result<CollectionChanges> {
    if (this.trouble === 'down') return this.fail('storeUnreachable');
    if (this.listAfter(collection, revision).length === 0)
      await new Promise<void>((resolve) => {
        this.waiters = [...this.waiters, resolve];
      });
    const changes = this.listAfter(collection, revision).map((item) => ({ item, deleted: false }));
    return Right({ changes, unreadable: [], revision: this.revision });
  }

  public override put(
    collection: string,
    name: string,
    value: unknown,
    ifRevision: number,
  ): Result<CollectionPutResult> {
    this.puts += 1;
    if (this.trouble === 'down') return this.fail('storeUnreachable');
    const current = this.find(collection).get(name);
    if ((current?.revision ?? 0) !== ifRevision) return Promise.resolve(Right({ type: 'conflict', current }));
    const item = this.set(collection, name, value);
    return this.trouble === 'repliesLost'
      ? this.fail('storeReplyLost')
      : Promise.resolve(Right({ type: 'accepted', item }));
  }

  public override close(): Promise<void> {
    this.wake();
    return Promise.resolve();
  }

  /** Writes an object without a condition, as another writer. One that changes nothing keeps its revision. */
  public set(collection: string, name: string, value: unknown): CollectionItem {
    const current = this.find(collection).get(name);
    if (current !== undefined && JSON.stringify(current.value) === JSON.stringify(value)) return current;
    this.revision += 1;
    this.writes += 1;
    const item: CollectionItem = {
      name,
      revision: this.revision,
      value: JSON.parse(JSON.stringify(value)) as unknown,
    };
    this.find(collection).set(name, item);
    if (!this.isSilent) this.wake();
    return item;
  }

  /** The present value of an object. */
  public read(collection: string, name: string): CollectionItem | undefined {
    return this.find(collection).get(name);
  }

  private listAfter(collection: string, revision: number): readonly CollectionItem[] {
    return [...this.find(collection).values()].filter((item) => item.revision > revision);
  }

  private find(collection: string): Map<string, CollectionItem> {
    const found = this.collections.get(collection) ?? new Map<string, CollectionItem>();
    this.collections.set(collection, found);
    return found;
  }

  private wake(): void {
    const { waiters } = this;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  private fail<T>(code: string): Result<T> {
    return Promise.resolve(
      Left(
        new RouterError(
          { code, step: 'store', peer: 'memory', ran: 'not run', status: 503 },
          'store trouble',
        ),
      ),
    );
  }
}
