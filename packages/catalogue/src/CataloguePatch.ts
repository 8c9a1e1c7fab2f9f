import type { Entry } from '#catalogue/Entry.js';
import type { Team } from '#catalogue/Team.js';
import type { Service } from '#catalogue/Service.js';

/** The difference between two versions of the catalogue, sent to daemons that have the older one. */
export interface CataloguePatch {
  readonly fromVersion: number;
  readonly toVersion: number;
  /** Author of the newer version. */
  readonly author: string;
  /** All regions of the newer version; left out if unchanged. */
  readonly regions?: readonly string[];
  /** Added and changed items. */
  readonly put: {
    readonly services: readonly Service[];
    readonly owners: readonly Team[];
    readonly entries: readonly Entry[];
  };
  /** Names of removed items; `owner/service/class` for entries. */
  readonly remove: {
    readonly services: readonly string[];
    readonly owners: readonly string[];
    readonly entries: readonly string[];
  };
}
