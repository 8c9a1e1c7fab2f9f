import type { ServerEntry } from '#mesh/ServerEntry.js';

/** One attempt to run a caller's request on a backend server. */
export interface DispatchAttempt {
  readonly number: number;
  readonly server: ServerEntry;
  readonly sentMs: number;
  /** Number of times the request was resent to the daemon, which may already have run it. */
  readonly resends: number;
}
