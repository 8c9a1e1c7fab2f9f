import type { RouteIndex } from '#routes/RouteIndex.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { TableView } from '#mesh/TableView.js';

/** What a daemon knows of the store's content. Replaced as a whole with each change. */
export interface MeshView {
  /** Undefined until the configuration was read. */
  readonly routes: RouteIndex | undefined;
  /** Failure domains that operators took out. */
  readonly evacuated: ReadonlySet<string>;
  readonly servers: ReadonlyMap<string, ServerEntry>;
  /** Ownership by service. */
  readonly tables: ReadonlyMap<string, TableView>;
  /** Revision of the last change of each watched collection, in the order of `watchedCollections`. */
  readonly revisions: readonly number[];
  /** Whether each collection was read at least once. */
  readonly complete: boolean;
}
