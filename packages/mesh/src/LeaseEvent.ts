/** Events of the chart of a daemon's lease. */
export interface LeaseEvent {
  readonly type: 'acquired' | 'lapsed' | 'revoked';
}
