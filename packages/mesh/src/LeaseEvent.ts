/** Events of a daemon's lease. */
export interface LeaseEvent {
  readonly type: 'acquired' | 'lapsed' | 'revoked';
}
