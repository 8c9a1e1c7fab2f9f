import type { RouteIndex } from '#routes/RouteIndex.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { StoredRangeTable } from '#mesh/StoredRangeTable.js';

/** A daemon's immutable snapshot of the store, replaced with each change. */
export interface MeshView {
  /** Undefined until the configuration has been read. */
  readonly routes: RouteIndex | undefined;
  /** Failure domains that operators have evacuated. */
  readonly evacuated: ReadonlySet<string>;
  readonly servers: ReadonlyMap<string, ServerEntry>;
  /** Range tables by service. */
  readonly tables: ReadonlyMap<string, StoredRangeTable>;
  /** Revision of the last change of each watched collection, in the order of `watchedCollections`. */
  readonly revisions: readonly number[];
  /** Whether every collection has been read at least once. */
  readonly complete: boolean;
}
