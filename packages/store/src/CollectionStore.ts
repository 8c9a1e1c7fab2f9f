import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { CollectionChanges } from '#store/CollectionChanges.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { EraChange } from '#store/EraChange.js';
import { EraGuard } from '#store/EraGuard.js';
import type { ProbedConnection } from '#store/ProbedConnection.js';
import { StoreVersion } from '#store/StoreVersion.js';

/**
 * A store of JSON objects in collections, with one revision counter, conditional writes and watches. Revisions are versions
 * as `StoreVersion` defines them: after a restore from a backup, the store is in a later era and all its versions are higher.
 * A write whose condition is of an earlier era is answered as a conflict, and a watch from such a version loses its history.
 * Errors have the step `store`. Their code is `storeUnreachable` or `storeRefused` if a call had no effect,
 * `storeReplyLost` if a write may have had one, and `storeHistoryLost` if a watch must start again from a listing.
 */
export abstract class CollectionStore {
  protected readonly guard = new EraGuard();
  private eraListener: (change: EraChange) => void = () => undefined;

  /**
   * Sets the listener for changes of the era. It is called before the result of the call that showed the change is passed
   * on, and not for a first era of 0.
   */
  public setEraListener(listener: (change: EraChange) => void): void {
    this.eraListener = listener;
  }

  /** Lists all objects of a collection. */
  public abstract list(collection: string): Promise<Either<RouterError, CollectionListing>>;

  /** Reads one object; undefined if it does not exist. */
  public abstract get(
    collection: string,
    name: string,
  ): Promise<Either<RouterError, CollectionItem | undefined>>;

  /** Waits up to `waitMs` milliseconds for changes after `revision`. */
  public abstract watch(
    collection: string,
    revision: number,
    waitMs: number,
  ): Promise<Either<RouterError, CollectionChanges>>;

  /** Writes an object if its revision is still `ifRevision`; 0 if it must not exist. */
  public abstract put(
    collection: string,
    name: string,
    value: unknown,
    ifRevision: number,
  ): Promise<Either<RouterError, CollectionPutResult>>;

  /**
   * Makes a small call and succeeds if the store responds, whatever its response. A probe of the kept connection fails if
   * that connection has ended since the last probe.
   */
  public abstract probe(connection: ProbedConnection): Promise<Either<RouterError, undefined>>;

  /**
   * Closes the connections that are open now, except that of the last probe of a new one, which is kept for later probes.
   * Pending calls fail.
   */
  public abstract replaceConnections(): void;

  /** Closes all connections; pending calls fail. */
  public abstract close(): Promise<void>;

  /** Notes a version that another daemon has read: its era may be later than those of the answers so far. */
  public learnVersion(version: number): void {
    const era = StoreVersion.eraOf(version);
    if (era > 0) this.reportEra(this.guard.learn(era));
  }

  /**
   * Notes the era that an answer names, if it does. Returns false if the answer is of an earlier era than one before, and so
   * is outdated. `nowMs` is monotonic.
   */
  protected noteEra(named: number | undefined, nowMs: number): boolean {
    const isCurrent = !this.isOutdated(named ?? 0);
    this.reportEra(this.guard.noteAnswer(named, nowMs));
    return isCurrent;
  }

  protected isOutdated(era: number | undefined): boolean {
    return era !== undefined && era < (this.guard.era ?? 0);
  }

  private reportEra(change: EraChange | undefined): void {
    if (change !== undefined && (!change.isFirst || change.era > 0)) this.eraListener(change);
  }
}
