/** Events of the chart of a connection to a backend server. */
export interface ServerLinkEvent {
  readonly type: 'connected' | 'sent' | 'answered' | 'answeredLast' | 'surplus' | 'malformed' | 'closed';
}
