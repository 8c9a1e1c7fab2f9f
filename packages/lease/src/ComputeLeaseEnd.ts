import type { LeaseConfig } from '#lease/LeaseConfig.js';
import { majorityOf } from '#lease/MajorityOf.js';
import type { WitnessLink } from '#lease/WitnessLink.js';

/**
 * Returns the end of the lease: `leaseMs` after the latest time by which a majority of the witnesses granted renewals.
 * Renewals count with their send times, so with three witnesses that is the second newest send time of their grants.
 * Without a majority the result is `-Infinity`.
 */
export function computeLeaseEnd(links: readonly WitnessLink[], config: LeaseConfig): number {
  const sentAtMs = links
    .map(({ grantedSentAtMs }) => grantedSentAtMs ?? -Infinity)
    .sort((left, right) => right - left);
  return (sentAtMs[majorityOf(links.length) - 1] ?? -Infinity) + config.leaseMs;
}
