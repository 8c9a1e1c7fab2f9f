/** Events of a request that may be hedged. */
export interface HedgedRequestEvent {
  readonly type: 'hedged' | 'copyFailed' | 'ended';
}
