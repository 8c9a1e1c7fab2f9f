/** Events of the chart of a backend server's presence. */
export interface PresenceEvent {
  readonly type: 'ready' | 'draining' | 'withdrawn' | 'died';
}
