import type { Catalogue } from '#catalogue/Catalogue.js';

/** Conditional write of a validated catalogue. */
export interface CatalogueWrite {
  /** Version that it replaces; 0 if there is no catalogue yet. */
  readonly expectedVersion: number;
  readonly author: string;
  readonly catalogue: Catalogue;
}
