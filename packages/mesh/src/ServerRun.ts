import type { Announcement } from '#mesh/Announcement.js';

/** One run of the backend server beside a daemon, as `PresenceTask` knows it. Times are monotonic, in milliseconds. */
export interface ServerRun {
  readonly announcement: Announcement;
  readonly incarnation: string;
  readonly announcedMs: number;
  readonly coldUntilMs: number;
  /** Undefined unless the run leaves; `-Infinity` if a former process of this daemon noted that. */
  readonly leavingMs: number | undefined;
  /** Sequence number of the last announcement when the run began to leave. */
  readonly leaveSequence: number;
}
