/** Events of the chart of a session with another daemon. */
export interface PeerLinkEvent {
  readonly type: 'connected' | 'silent' | 'heard' | 'closed';
}
