/** Reason for which the owner task refuses a request that has not run. */
export type OwnerFaultKind = 'notOwner' | 'shardReleased' | 'releasedInQueue' | 'leaseExpired' | 'callerGone';
