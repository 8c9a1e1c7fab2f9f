import type { CatalogueChange } from '#catalogue/CatalogueChange.js';

/** Response of the administration API to a change of the catalogue or to a dry run. */
export interface ChangeResult {
  /** Version that the change created; after a dry run, the version that the change was compared with. */
  readonly version: number;
  readonly changes: readonly CatalogueChange[];
}
