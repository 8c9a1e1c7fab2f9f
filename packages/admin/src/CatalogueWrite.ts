import type { Catalogue } from '#catalogue/Catalogue.js';

/** A checked catalogue that is to replace the version that its author has seen. */
export interface CatalogueWrite {
  /** Version that the change is based on; 0 if there is no catalogue yet. */
  readonly expectedVersion: number;
  readonly author: string;
  readonly catalogue: Catalogue;
}
