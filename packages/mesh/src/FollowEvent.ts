/** Events of `followChart`. */
export interface FollowEvent {
  readonly type: 'contact' | 'fresh' | 'refused' | 'exhausted' | 'proceed';
}
