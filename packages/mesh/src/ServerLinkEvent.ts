/** Events of `serverLinkChart`. */
export interface ServerLinkEvent {
  readonly type: 'connected' | 'sent' | 'answered' | 'answeredLast' | 'surplus' | 'malformed' | 'closed';
}
