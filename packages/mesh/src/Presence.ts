/** State of the backend server beside a daemon, by its last announcement. */
export interface Presence {
  readonly state: 'absent' | 'ready' | 'draining' | 'gone';
  readonly service: string;
  /** `host:port` of the backend server. */
  readonly address: string;
  readonly instanceId: string;
  readonly incarnation: string;
  readonly slots: number;
  /** Monotonic time until which it is warming up, in milliseconds. */
  readonly coldUntilMs: number;
  /** Monotonic time of the last announcement, in milliseconds. */
  readonly announcedMs: number;
  /** Monotonic time at which the daemon acknowledged its leave, in milliseconds; undefined if it does not leave. */
  readonly leavingMs: number | undefined;
}
