import type { ServerEntry } from '#mesh/ServerEntry.js';

/** A request on its way to one backend server. */
export interface DispatchAttempt {
  readonly number: number;
  readonly server: ServerEntry;
  readonly sentMs: number;
  /** Times that it was sent again to the same daemon, which may have run it before. */
  readonly resumed: number;
}
