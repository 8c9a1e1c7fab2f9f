import type { Cell } from '#assignment/Cell.js';
import type { CatalogueIndex } from '#catalogue/CatalogueIndex.js';

/** What the entry task routes by: the catalogue and the cells that this daemon knows, by `service/index`. */
export interface RoutingView {
  readonly index: CatalogueIndex | undefined;
  readonly cells: ReadonlyMap<string, Cell>;
}
