/**
 * Events of a daemon process: `informed` once it knows the configuration, `emptied` once no request is left.
 */
export interface DaemonLifeEvent {
  readonly type: 'informed' | 'stop' | 'emptied';
}
