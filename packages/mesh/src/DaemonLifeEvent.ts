/** Events of the chart of a daemon's life. */
export interface DaemonLifeEvent {
  readonly type: 'informed' | 'stop' | 'emptied';
}
