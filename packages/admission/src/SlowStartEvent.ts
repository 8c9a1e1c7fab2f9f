/**
 * Events of a slow start. `windowGood`: a window of answers without a shed or latency step. `trouble`: a shed or a
 * latency step. `cold`: an announcement, a new incarnation, or a run of sheds or refused connections.
 */
export interface SlowStartEvent {
  readonly type: 'windowGood' | 'trouble' | 'cold';
}
