/** Current values of a daemon. The set is fixed, so that labels stay bounded. */
export type GaugeName =
  | 'catalogueVersion'
  | 'intentVersion'
  | 'ownedShards'
  | 'queueLength'
  | 'slotsInUse'
  | 'slotLimit'
  | 'backendConnections'
  | 'onceRecords'
  | 'leaseLeftMs'
  | 'storeReachable';
