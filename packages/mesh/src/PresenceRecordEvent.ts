/** Events of `presenceRecordChart`. */
export interface PresenceRecordEvent {
  readonly type: 'read' | 'failed';
}
