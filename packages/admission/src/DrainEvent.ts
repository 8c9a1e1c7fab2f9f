/** Events of the drain of a backend server. `emptied`: the last running request has ended. */
export interface DrainEvent {
  readonly type: 'drain' | 'emptied' | 'resume';
}
