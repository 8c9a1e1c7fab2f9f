import type { CatalogueChange } from '#catalogue/CatalogueChange.js';

/** Answer of the administration API to a change of the catalogue or a trial of one. */
export interface ChangeResult {
  /** Version that the change made; with a trial, the version that it was compared with. */
  readonly version: number;
  readonly changes: readonly CatalogueChange[];
}
