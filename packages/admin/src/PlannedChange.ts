import type { Catalogue } from '#catalogue/Catalogue.js';
import type { CatalogueChange } from '#catalogue/CatalogueChange.js';

/** A catalogue that may be written, and what it changes. */
export interface PlannedChange {
  readonly catalogue: Catalogue;
  readonly changes: readonly CatalogueChange[];
}
