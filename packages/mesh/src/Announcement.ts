import type { HeldRow } from '#mesh/HeldRow.js';
import type { ReleasedRow } from '#mesh/ReleasedRow.js';

/** Heartbeat that a backend server sends to the daemon on its VM. */
export interface Announcement {
  readonly instanceId: string;
  /** Wall-clock time at which the process started, in milliseconds since the Unix epoch. */
  readonly bornMs: number;
  /** Increases with each announcement of one process. */
  readonly sequence: number;
  readonly service: string;
  /** `host:port` of the backend server. */
  readonly address: string;
  readonly slots: number;
  readonly draining: boolean;
  /** Remaining time of its cold start, in milliseconds. */
  readonly coldLeftMs: number;
  readonly holds: readonly HeldRow[];
  /** Keys released since the last announcement that the daemon acknowledged. */
  readonly released: readonly ReleasedRow[];
}
