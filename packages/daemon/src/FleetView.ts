import type { Cell } from '#assignment/Cell.js';
import type { CatalogueIndex } from '#catalogue/CatalogueIndex.js';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';
import type { Intent } from '#control/Intent.js';

/** The newest catalogue, operator intent and cells that a daemon has applied. */
export interface FleetView {
  readonly catalogue: VersionedCatalogue | undefined;
  readonly index: CatalogueIndex | undefined;
  /** Version of the intent; 0 before the first one. */
  readonly intentVersion: number;
  readonly intent: Intent;
  /** Cells by `service/index`. */
  readonly cells: ReadonlyMap<string, Cell>;
}
