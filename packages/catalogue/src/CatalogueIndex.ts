import type { Entry } from '#catalogue/Entry.js';
import type { Team } from '#catalogue/Team.js';
import type { Service } from '#catalogue/Service.js';

/** Lookup tables of one catalogue version. */
export interface CatalogueIndex {
  readonly version: number;
  /** Entries by owner, then service, then class. */
  readonly entries: ReadonlyMap<string, ReadonlyMap<string, ReadonlyMap<string, Entry>>>;
  readonly services: ReadonlyMap<string, Service>;
  readonly owners: ReadonlyMap<string, Team>;
}
