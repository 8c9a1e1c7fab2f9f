/** Why the answer of an order that may have run is missing. */
export type LossCode =
  'connectionLost' | 'serverCrashed' | 'badAnswer' | 'timeout' | 'peerLost' | 'peerRestarted' | 'cancelled';
