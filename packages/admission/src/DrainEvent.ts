/** Events of the drain of a backend server; `emptied`: nothing runs any more. */
export interface DrainEvent {
  readonly type: 'drain' | 'emptied' | 'resume';
}
