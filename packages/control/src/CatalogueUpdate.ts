import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';

/** A newer catalogue that the store has accepted. */
export interface CatalogueUpdate {
  readonly type: 'catalogue';
  readonly catalogue: VersionedCatalogue;
}
