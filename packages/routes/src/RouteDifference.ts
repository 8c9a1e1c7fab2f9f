import type { RouteSubject } from '#routes/RouteSubject.js';

/** A difference between a configuration and the one in force. */
export interface RouteDifference {
  readonly subject: RouteSubject;
  /** Name of the field, or undefined if the whole entry was added or removed. */
  readonly field: string | undefined;
  /** Value in force as JSON; undefined for an entry that is added. */
  readonly before: string | undefined;
  /** New value as JSON; undefined for an entry that is removed. */
  readonly after: string | undefined;
  /** Whether the difference permits more than before. */
  readonly loosens: boolean;
}
