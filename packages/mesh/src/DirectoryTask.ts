import { ChartCursor } from '#chart/ChartCursor.js';
import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { RouterError } from '#core/RouterError.js';
import { Task } from '#core/Task.js';
import type { CollectionChange } from '#store/CollectionChange.js';
import type { CollectionChanges } from '#store/CollectionChanges.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { UnreadableObject } from '#store/UnreadableObject.js';
import { ChangeApplier } from '#mesh/ChangeApplier.js';
import type { DirectoryMessage } from '#mesh/DirectoryMessage.js';
import { emptyMeshView } from '#mesh/EmptyMeshView.js';
import type { RouteDecoder } from '#mesh/RouteDecoder.js';
import type { MeshView } from '#mesh/MeshView.js';
import type { ViewListener } from '#mesh/ViewListener.js';
import { watchChart } from '#mesh/WatchChart.js';
import type { WatchedCollection } from '#mesh/WatchedCollection.js';
import { watchedCollections } from '#mesh/WatchedCollections.js';
import type { WatchEvent } from '#mesh/WatchEvent.js';

/** Longest wait of one watch, in milliseconds. */
const WATCH_MS = 20_000;

/** Pause between two watches, so that changes in quick succession come in one answer, in milliseconds. */
const REST_MS: Readonly<Record<WatchedCollection, number>> = {
  routes: 100,
  servers: 300,
  ranges: 20,
  evacuations: 100,
};

/** Least time between two listings of a collection for hints, in milliseconds. */
const HINT_PAUSE_MS = 500;

/** Pauses before a failed call is repeated, in milliseconds. */
const FIRST_RETRY_MS = 150;
const MAX_RETRY_MS = 800;

interface Follower {
  readonly cursor: ChartCursor<WatchEvent>;
  readonly revision: number;
  readonly failures: number;
  /** Names listed at last; those missing from the next listing were deleted. */
  readonly names: ReadonlySet<string>;
  readonly listed: boolean;
  /** Number of the call that is waited for; answers to earlier ones are ignored. */
  readonly call: number;
  /** Revision of the last change. */
  readonly changedRevision: number;
  /** Monotonic time of the last listing for a hint, in milliseconds. */
  readonly hintedMs: number;
}

/** Follows the collections of the store and tells its listeners each new view. Owns the view. */
export class DirectoryTask extends Task<DirectoryMessage> {
  private readonly store: CollectionStore;
  private readonly clock: Clock;
  private readonly logger: Logger;
  private readonly applier: ChangeApplier;
  private readonly followers = new Map<WatchedCollection, Follower>();
  private listeners: readonly ViewListener[] = [];
  private view: MeshView = emptyMeshView;
  private reachable = true;

  public constructor(store: CollectionStore, decoder: RouteDecoder, clock: Clock, logger: Logger) {
    super();
    this.store = store;
    this.clock = clock;
    this.logger = logger;
    this.applier = new ChangeApplier(decoder, logger);
  }

  /** Begins to read the store. */
  public start(): void {
    for (const collection of watchedCollections) {
      this.followers.set(collection, {
        cursor: new ChartCursor(watchChart),
        revision: 0,
        failures: 0,
        names: new Set(),
        listed: false,
        call: 0,
        changedRevision: 0,
        hintedMs: -Infinity,
      });
      this.list(collection);
    }
  }

  protected override receive(message: DirectoryMessage): void {
    if ('call' in message && message.call !== this.find(message.collection).call) return;
    switch (message.type) {
      case 'subscribe':
        this.listeners = [...this.listeners, message.listener];
        message.listener(this.view);
        return;
      case 'listed':
        this.noteListing(message.collection, message.listing);
        return;
      case 'changed':
        this.noteChanges(message.collection, message.changes);
        return;
      case 'failed':
        this.noteFailure(message.collection, message.err);
        return;
      case 'hint':
        this.noteHint(message.revisions);
        return;
      case 'proceed':
        this.proceed(message.collection);
    }
  }

  /** Lists the collections in which another daemon knows a later change: a watch may have gone silent. */
  private noteHint(revisions: readonly number[]): void {
    const nowMs = this.clock.monotonicMs();
    for (const [index, collection] of watchedCollections.entries()) {
      const { revision, hintedMs, cursor } = this.find(collection);
      if ((revisions[index] ?? 0) <= revision || nowMs - hintedMs < HINT_PAUSE_MS) continue;
      if (!cursor.send({ type: 'hinted' })) continue;
      this.update(collection, { hintedMs: nowMs });
      this.logger.log('hinted', { step: 'spread', collection, revision, hint: revisions[index] });
      this.list(collection);
    }
  }

  private noteListing(collection: WatchedCollection, listing: CollectionListing): void {
    this.noteReachable();
    const before = this.find(collection).names;
    const names = new Set([...listing.items, ...listing.unreadable].map(({ name }) => name));
    this.reportUnreadable(collection, listing.unreadable);
    const deleted = [...before]
      .filter((name) => !names.has(name))
      .map((name) => ({
        item: { name, revision: listing.revision, value: undefined },
        deleted: true,
      }));
    const present = listing.items.map((item) => ({ item, deleted: false }));
    this.update(collection, { revision: listing.revision, failures: 0, names, listed: true });
    this.apply(collection, [...deleted, ...present]);
    this.advance(collection, { type: 'listed' }, REST_MS[collection]);
  }

  private noteChanges(
    collection: WatchedCollection,
    { changes, unreadable, revision }: CollectionChanges,
  ): void {
    this.noteReachable();
    this.reportUnreadable(collection, unreadable);
    this.update(collection, { revision, failures: 0 });
    this.apply(collection, changes);
    this.advance(collection, { type: 'changed' }, REST_MS[collection]);
  }

  /** An object that cannot be read any longer stays in the view as it was read last. */
  private reportUnreadable(collection: WatchedCollection, objects: readonly UnreadableObject[]): void {
    for (const { name, message } of objects)
      this.logger.log('objectIgnored', { step: 'store', collection, name, message });
  }

  private noteFailure(collection: WatchedCollection, err: RouterError): void {
    const { failures } = this.find(collection);
    const lost = err.fields.code === 'storeHistoryLost';
    if (!lost && this.reachable) {
      this.reachable = false;
      this.logger.log('storeLost', {
        step: 'store',
        collection,
        code: err.fields.code,
        message: err.message,
      });
    }
    this.update(collection, { failures: failures + 1 });
    const delayMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** failures);
    this.advance(collection, { type: lost ? 'historyLost' : 'failed' }, lost ? 0 : delayMs);
  }

  private noteReachable(): void {
    if (this.reachable) return;
    this.reachable = true;
    this.logger.log('storeRegained', { step: 'store' });
  }

  private apply(collection: WatchedCollection, changes: readonly CollectionChange[]): void {
    const { names } = this.find(collection);
    const next = new Set(names);
    for (const { item, deleted } of changes) {
      if (deleted) next.delete(item.name);
      else next.add(item.name);
    }
    const changedRevision = changes.reduce(
      (latest, { item }) => Math.max(latest, item.revision),
      this.find(collection).changedRevision,
    );
    this.update(collection, { names: next, changedRevision });
    const complete = [...this.followers.values()].every(({ listed }) => listed);
    const revisions = watchedCollections.map((each) => this.find(each).changedRevision);
    const view = { ...this.applier.apply(this.view, collection, changes), revisions, complete };
    if (changes.length === 0 && view.complete === this.view.complete) return;
    this.view = view;
    for (const listener of this.listeners) listener(view);
  }

  private advance(collection: WatchedCollection, event: WatchEvent, delayMs: number): void {
    this.find(collection).cursor.send(event);
    this.clock.schedule(delayMs, () => this.post({ type: 'proceed', collection }));
  }

  private proceed(collection: WatchedCollection): void {
    const { cursor } = this.find(collection);
    if (!cursor.send({ type: 'proceed' })) return;
    if (cursor.state === 'listing') this.list(collection);
    else this.watch(collection);
  }

  private list(collection: WatchedCollection): void {
    const call = this.beginCall(collection);
    void this.store.list(collection).then((result) => {
      result.caseOf({
        Left: (err) => this.post({ type: 'failed', collection, call, err }),
        Right: (listing) => this.post({ type: 'listed', collection, call, listing }),
      });
    });
  }

  private watch(collection: WatchedCollection): void {
    const call = this.beginCall(collection);
    void this.store.watch(collection, this.find(collection).revision, WATCH_MS).then((result) => {
      result.caseOf({
        Left: (err) => this.post({ type: 'failed', collection, call, err }),
        Right: (changes) => this.post({ type: 'changed', collection, call, changes }),
      });
    });
  }

  private beginCall(collection: WatchedCollection): number {
    const call = this.find(collection).call + 1;
    this.update(collection, { call });
    return call;
  }

  private find(collection: WatchedCollection): Follower {
    const follower = this.followers.get(collection);
    if (follower === undefined) throw new Error(`the collection ${collection} is not followed`);
    return follower;
  }

  private update(collection: WatchedCollection, change: Partial<Follower>): void {
    this.followers.set(collection, { ...this.find(collection), ...change });
  }
}
