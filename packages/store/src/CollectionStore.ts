import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { CollectionChanges } from '#store/CollectionChanges.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { ProbedConnection } from '#store/ProbedConnection.js';

/**
 * A store of JSON objects in collections, with one revision counter, conditional writes and watches.
 * Errors have the step `store`. Their code is `storeUnreachable` or `storeRefused` if a call had no effect,
 * `storeReplyLost` if a write may have had one, and `storeHistoryLost` if a watch must start again from a listing.
 */
export abstract class CollectionStore {
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
}
