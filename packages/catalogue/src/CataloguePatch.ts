import type { Entry } from '#catalogue/Entry.js';
import type { Team } from '#catalogue/Team.js';
import type { Service } from '#catalogue/Service.js';

/** The difference between two versions of the catalogue, for daemons that have the older one. */
export interface CataloguePatch {
  readonly fromVersion: number;
  readonly toVersion: number;
  /** Author of the newer version. */
  readonly author: string;
  /** All regions; left out if they are unchanged. */
  readonly regions?: readonly string[];
  /** Added and changed parts. */
  readonly put: {
    readonly services: readonly Service[];
    readonly owners: readonly Team[];
    readonly entries: readonly Entry[];
  };
  /** Names of removed parts; `owner/service/class` for entries. */
  readonly remove: {
    readonly services: readonly string[];
    readonly owners: readonly string[];
    readonly entries: readonly string[];
  };
}
