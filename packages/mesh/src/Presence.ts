/** The backend server beside a daemon, as it announced itself last. */
export interface Presence {
  readonly state: 'absent' | 'ready' | 'draining' | 'gone';
  readonly service: string;
  /** `host:port` of the backend server. */
  readonly address: string;
  readonly instanceId: string;
  readonly incarnation: string;
  readonly slots: number;
  /** Monotonic time until which it is cold, in milliseconds. */
  readonly coldUntilMs: number;
  /** Monotonic time of the last announcement, in milliseconds. */
  readonly heardMs: number;
  /** Monotonic time at which its leaving was acknowledged; undefined if it stays. */
  readonly leavingMs: number | undefined;
}
