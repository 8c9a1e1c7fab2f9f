/** Events of `callerConnectionChart`. */
export interface CallerConnectionEvent {
  readonly type: 'lastRead' | 'ended' | 'expired' | 'closed';
}
