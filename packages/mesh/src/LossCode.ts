/** Reason for which a request that may have run has no response. */
export type LossCode =
  'connectionLost' | 'serverCrashed' | 'badAnswer' | 'timeout' | 'peerLost' | 'peerRestarted' | 'cancelled';
