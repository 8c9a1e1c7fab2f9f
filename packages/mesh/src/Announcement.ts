import type { HeldRow } from '#mesh/HeldRow.js';
import type { ReleasedRow } from '#mesh/ReleasedRow.js';

/** What a backend server says of itself to the daemon beside it. */
export interface Announcement {
  readonly instanceId: string;
  /** Wall-clock time of its start, in milliseconds since the Unix epoch. */
  readonly bornMs: number;
  /** Rises with each announcement of one run. */
  readonly sequence: number;
  readonly service: string;
  /** `host:port` of the backend server. */
  readonly address: string;
  readonly slots: number;
  readonly draining: boolean;
  /** How much longer it is cold, in milliseconds. */
  readonly coldLeftMs: number;
  readonly holds: readonly HeldRow[];
  /** Keys released since its last acknowledged announcement. */
  readonly released: readonly ReleasedRow[];
}
