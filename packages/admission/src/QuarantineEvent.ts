/** Events of a quarantine entry; `marks` is the number of marks that are not cleared after the event. */
export interface QuarantineEvent {
  readonly type: 'marked' | 'cleared';
  readonly marks: number;
}
