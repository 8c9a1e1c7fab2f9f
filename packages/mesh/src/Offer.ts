import type { ServerEntry } from '#mesh/ServerEntry.js';

/** A request on its way to one backend server. */
export interface Offer {
  readonly number: number;
  readonly server: ServerEntry;
  readonly sentMs: number;
  /** Whether the backend server may have run it in an earlier send of the same offer. */
  readonly resumed: number;
}
