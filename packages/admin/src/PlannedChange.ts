import type { Catalogue } from '#catalogue/Catalogue.js';
import type { CatalogueChange } from '#catalogue/CatalogueChange.js';

/** A validated and permitted catalogue, with its differences from the newest one. */
export interface PlannedChange {
  readonly catalogue: Catalogue;
  readonly changes: readonly CatalogueChange[];
}
