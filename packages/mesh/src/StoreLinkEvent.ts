/** Events of `storeLinkChart`. */
export interface StoreLinkEvent {
  readonly type:
    'due' | 'answered' | 'silent' | 'failed' | 'newAnswered' | 'newFailed' | 'paused' | 'resumed';
}
