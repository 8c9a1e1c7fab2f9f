/** Gauges of a daemon. The set is fixed, so that the number of series stays bounded. */
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
  | 'readsStore'
  | 'readAgeMs'
  | 'followersWaiting'
  | 'storeReachable'
  | 'storeEra'
  | 'outlookAgeMs';
