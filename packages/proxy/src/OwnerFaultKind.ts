/** Why the owner task ends an order that has not run. */
export type OwnerFaultKind = 'notOwner' | 'shardReleased' | 'releasedInQueue' | 'leaseExpired' | 'callerGone';
