/**
 * Events of a slow start. `windowGood`: a window of responses that reached the limit without a shed request or latency
 * step. `overload`: a shed request or a latency step. `cold`: a new incarnation, or several consecutive shed requests
 * or refused connections.
 */
export interface SlowStartEvent {
  readonly type: 'windowGood' | 'overload' | 'cold';
}
