import type { Entry } from '#catalogue/Entry.js';
import type { Team } from '#catalogue/Team.js';
import type { Service } from '#catalogue/Service.js';

/** The configuration that operators and teams maintain: regions, services, owners, and the rules for their traffic. */
export interface Catalogue {
  readonly regions: readonly string[];
  readonly services: readonly Service[];
  readonly owners: readonly Team[];
  readonly entries: readonly Entry[];
}
