import type { Catalogue } from '#catalogue/Catalogue.js';

/** A catalogue that the store has accepted, with its version. */
export interface VersionedCatalogue {
  /** Version of the catalogue's object in the store; increases with each accepted change. */
  readonly version: number;
  /** Name of the team that made this version. */
  readonly author: string;

  readonly catalogue: Catalogue;
}
