/** Next step of a daemon's membership in its cell. */
export type MembershipCommand = 'write' | 'startEpoch' | 'refuseEpoch' | 'retryLater' | 'giveUp';
