import type { Entry } from '#catalogue/Entry.js';
import type { Team } from '#catalogue/Team.js';
import type { Service } from '#catalogue/Service.js';

/** The whole configuration that operators maintain; its version is the version of its object in the store. */
export interface Catalogue {
  readonly regions: readonly string[];
  readonly services: readonly Service[];
  readonly owners: readonly Team[];
  readonly entries: readonly Entry[];
}
