import type { SeenVersions } from '#control/SeenVersions.js';

/** What a daemon knows about the configuration of the fleet. */
export interface SpreadStatus {
  readonly catalogueVersion: number;
  readonly intentVersion: number;
  /** Whether this daemon watches the store for its region. */
  readonly isReader: boolean;
  readonly seen: readonly SeenVersions[];
}
