import type { Catalogue } from '#catalogue/Catalogue.js';

/** A catalogue that the store has accepted. */
export interface VersionedCatalogue {
  /** Version of the object in the store; rises with each accepted change. */
  readonly version: number;
  readonly author: string;
  readonly catalogue: Catalogue;
}
