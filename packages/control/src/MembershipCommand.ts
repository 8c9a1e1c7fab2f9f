/** Commands of charts/membership.json. */
export type MembershipCommand = 'write' | 'startEpoch' | 'refuseEpoch' | 'retryLater' | 'giveUp';
