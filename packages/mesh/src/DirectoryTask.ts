import { ChartCursor } from '#chart/ChartCursor.js';
import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { RouterError } from '#core/RouterError.js';
import { Task } from '#core/Task.js';
import type { CollectionChange } from '#store/CollectionChange.js';
import type { CollectionChanges } from '#store/CollectionChanges.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import { StoreVersion } from '#store/StoreVersion.js';
import type { UnreadableObject } from '#store/UnreadableObject.js';
import type { CollectionUpdate } from '#fanout/CollectionUpdate.js';
import { ChangeApplier } from '#mesh/ChangeApplier.js';
import type { DirectoryMessage } from '#mesh/DirectoryMessage.js';
import { emptyMeshView } from '#mesh/EmptyMeshView.js';
import type { ReadReport } from '#mesh/ReadReport.js';
import type { RouteDecoder } from '#mesh/RouteDecoder.js';
import type { MeshView } from '#mesh/MeshView.js';
import type { ViewListener } from '#mesh/ViewListener.js';
import { watchChart } from '#mesh/WatchChart.js';
import type { WatchedCollection } from '#mesh/WatchedCollection.js';
import { watchedCollections } from '#mesh/WatchedCollections.js';
import type { WatchEvent } from '#mesh/WatchEvent.js';

/** Timeout of one watch call, the longest that the store accepts; it then replies without changes. */
const WATCH_TIMEOUT_MS = 30_000;

/** Delay between two watch calls, so that changes in quick succession arrive in one reply. */
const WATCH_PAUSE_MS: Readonly<Record<WatchedCollection, number>> = {
  routes: 100,
  servers: 300,
  ranges: 20,
  evacuations: 100,
};

/** Shortest time between two listings of a collection that are caused by hints. */
const MIN_HINT_INTERVAL_MS = 500;

/** Time for which evacuations that are missing after a restore of the store stay in force, in milliseconds. */
const EVACUATION_GRACE_MS = 10_000;

/** Delays before a failed call is repeated, with exponential backoff. */
const INITIAL_RETRY_DELAY_MS = 150;
const MAX_RETRY_DELAY_MS = 800;

interface WatchState {
  readonly cursor: ChartCursor<WatchEvent>;
  readonly revision: number;
  readonly failures: number;
  /** Names of the known objects; those missing from the next listing were deleted. */
  readonly names: ReadonlySet<string>;
  readonly listed: boolean;
  /** Number of the current call; replies to earlier ones are ignored. */
  readonly call: number;
  /** Monotonic time at which the current call was sent, in milliseconds. */
  readonly sentMs: number;
  /** Revision of the last changed object. */
  readonly changedRevision: number;
  /** Monotonic time of the last listing caused by a hint, in milliseconds. */
  readonly hintedMs: number;
}

/**
 * Reads the store's collections, by watches or from what another daemon has read, and passes each new view to its listeners.
 * Owns the view.
 */
export class DirectoryTask extends Task<DirectoryMessage> {
  private readonly store: CollectionStore;
  private readonly clock: Clock;
  private readonly logger: Logger;
  private readonly applier: ChangeApplier;
  private readonly onRead: (report: ReadReport) => void;
  private readonly watches = new Map<WatchedCollection, WatchState>();
  private listeners: readonly ViewListener[] = [];
  private view: MeshView = emptyMeshView;
  private reachable = true;

  /** `onRead` receives what was read, so that it can be passed on to other daemons. */
  public constructor(
    store: CollectionStore,
    decoder: RouteDecoder,
    clock: Clock,
    logger: Logger,
    onRead: (report: ReadReport) => void = () => undefined,
  ) {
    super();
    this.onRead = onRead;
    this.store = store;
    this.clock = clock;
    this.logger = logger;
    this.applier = new ChangeApplier(decoder, logger);
  }

  /** Starts reading the store. */
  public start(): void {
    for (const collection of watchedCollections) {
      this.watches.set(collection, {
        cursor: new ChartCursor(watchChart),
        revision: 0,
        failures: 0,
        names: new Set(),
        listed: false,
        call: 0,
        sentMs: 0,
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
      case 'eraChanged':
        this.listAll();
        return;
      case 'reconnected':
        this.restartCalls();
        return;
      case 'positions':
        message.reply(
          watchedCollections.map((collection) => ({ collection, revision: this.find(collection).revision })),
        );
        return;
      case 'followed':
        this.follow(message.updates);
        return;
      case 'direct':
        for (const collection of watchedCollections)
          if (this.find(collection).cursor.send({ type: 'direct' })) this.callStore(collection);
        return;
      case 'confirmed':
        this.confirm(message.sentMs);
        return;
      case 'relist':
        if (this.find(message.collection).cursor.send({ type: 'hinted' })) this.list(message.collection);
        return;
      case 'proceed':
        this.proceed(message.collection);
    }
  }

  /**
   * Lists each collection of which another daemon knows a later revision: the watch of this daemon may be
   * stalled.
   */
  private noteHint(revisions: readonly number[]): void {
    const nowMs = this.clock.monotonicMs();
    for (const [index, collection] of watchedCollections.entries()) {
      const { revision, hintedMs, cursor } = this.find(collection);
      if ((revisions[index] ?? 0) <= revision || nowMs - hintedMs < MIN_HINT_INTERVAL_MS) continue;
      if (!cursor.send({ type: 'hinted' })) continue;
      this.update(collection, { hintedMs: nowMs });
      this.logger.log('hinted', { step: 'spread', collection, revision, hint: revisions[index] });
      this.list(collection);
    }
  }

  /** Lists all collections anew after a restore of the store. */
  private listAll(): void {
    for (const collection of watchedCollections)
      if (this.find(collection).cursor.send({ type: 'restored' })) this.list(collection);
  }

  /** Repeats the calls that wait for a response on connections that were closed. */
  private restartCalls(): void {
    for (const collection of watchedCollections) {
      const { cursor } = this.find(collection);
      if (cursor.send({ type: 'reconnected' })) this.callStore(collection);
    }
  }

  /** Takes in what another daemon has read. Calls of the store that are in progress are ignored from then on. */
  private follow(updates: readonly CollectionUpdate[]): void {
    for (const collection of watchedCollections)
      if (this.find(collection).cursor.send({ type: 'followed' })) this.beginCall(collection);
    for (const update of updates) {
      const collection = watchedCollections.find((each) => each === update.collection);
      if (collection !== undefined) this.applyUpdate(collection, update);
    }
  }

  /** Applies an update unless a later state is known, so that no collection goes back if the source changes. */
  private applyUpdate(collection: WatchedCollection, update: CollectionUpdate): void {
    const { revision } = update.type === 'listed' ? update.listing : update.changes;
    if (revision < this.find(collection).revision) return;
    this.onRead({ type: 'read', update, sentMs: undefined });
    if (update.type === 'listed') {
      this.applyListing(collection, update.listing);
      return;
    }
    this.update(collection, { revision, failures: 0 });
    this.apply(collection, update.changes.changes);
  }

  /** Reports collections whose watch was sent before an answered call, and is pending or has just ended, as confirmed. */
  private confirm(sentMs: number): void {
    for (const collection of watchedCollections) {
      const { cursor, sentMs: callMs } = this.find(collection);
      const isRead = cursor.state === 'watching' || cursor.state === 'resting';
      if (isRead && callMs <= sentMs) this.onRead({ type: 'confirmed', collection, sentMs });
    }
  }

  private noteListing(collection: WatchedCollection, listing: CollectionListing): void {
    this.noteReachable();
    const { sentMs } = this.find(collection);
    const kept = this.keepUndone(collection, listing);
    this.onRead({ type: 'read', update: { type: 'listed', collection, listing: kept }, sentMs });
    this.applyListing(collection, kept);
    this.advance(collection, { type: 'listed' }, WATCH_PAUSE_MS[collection]);
  }

  private applyListing(collection: WatchedCollection, listing: CollectionListing): void {
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
  }

  /**
   * Adds the evacuations to a listing that a restore of the store has undone. The operator writes them again; until then, they stay
   * in force here and at the daemons that read through this one.
   */
  private keepUndone(collection: WatchedCollection, listing: CollectionListing): CollectionListing {
    if (collection !== 'evacuations' || !this.isRestored(collection, listing.revision)) return listing;
    this.clock.schedule(EVACUATION_GRACE_MS, () => this.post({ type: 'relist', collection }));
    const { revision } = listing;
    const present = new Set([...listing.items, ...listing.unreadable].map(({ name }) => name));
    const undone = [...this.find(collection).names].filter((name) => !present.has(name));
    return {
      ...listing,
      items: [...listing.items, ...undone.map((name) => ({ name, revision, value: {} }))],
    };
  }

  /** Whether a listing is the first one since a restore of the store. */
  private isRestored(collection: WatchedCollection, revision: number): boolean {
    const { listed, revision: before } = this.find(collection);
    return listed && StoreVersion.eraOf(before) < StoreVersion.eraOf(revision);
  }

  private noteChanges(collection: WatchedCollection, read: CollectionChanges): void {
    const { changes, unreadable, revision } = read;
    const { sentMs } = this.find(collection);
    this.noteReachable();
    this.onRead({ type: 'read', update: { type: 'changed', collection, changes: read }, sentMs });
    this.reportUnreadable(collection, unreadable);
    this.update(collection, { revision, failures: 0 });
    this.apply(collection, changes);
    this.advance(collection, { type: 'changed' }, WATCH_PAUSE_MS[collection]);
  }

  /** Logs objects that can no longer be read; they stay in the view as last read. */
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
    const delayMs = Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** failures);
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
    const complete = [...this.watches.values()].every(({ listed }) => listed);
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
    if (cursor.send({ type: 'proceed' })) this.callStore(collection);
  }

  private callStore(collection: WatchedCollection): void {
    if (this.find(collection).cursor.state === 'listing') this.list(collection);
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
    void this.store.watch(collection, this.find(collection).revision, WATCH_TIMEOUT_MS).then((result) => {
      result.caseOf({
        Left: (err) => this.post({ type: 'failed', collection, call, err }),
        Right: (changes) => this.post({ type: 'changed', collection, call, changes }),
      });
    });
  }

  private beginCall(collection: WatchedCollection): number {
    const call = this.find(collection).call + 1;
    this.update(collection, { call, sentMs: this.clock.monotonicMs() });
    return call;
  }

  private find(collection: WatchedCollection): WatchState {
    const state = this.watches.get(collection);
    if (state === undefined) throw new Error(`collection ${collection} is not watched`);
    return state;
  }

  private update(collection: WatchedCollection, change: Partial<WatchState>): void {
    this.watches.set(collection, { ...this.find(collection), ...change });
  }
}
