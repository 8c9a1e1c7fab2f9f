/** Events of a quarantined request; `marks` is the number of uncleared marks after the event. */
export interface QuarantineEvent {
  readonly type: 'marked' | 'cleared';
  readonly marks: number;
}
