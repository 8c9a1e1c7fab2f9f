/** Events of `presenceChart`. */
export interface PresenceEvent {
  readonly type: 'ready' | 'draining' | 'withdrawn' | 'died' | 'replaced';
}
