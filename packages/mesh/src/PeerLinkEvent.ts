/** Events of `peerLinkChart`. */
export interface PeerLinkEvent {
  readonly type: 'connected' | 'silent' | 'heard' | 'closed';
}
