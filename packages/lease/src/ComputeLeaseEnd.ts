import type { LeaseConfig } from '#lease/LeaseConfig.js';
import { majorityOf } from '#lease/MajorityOf.js';
import type { WitnessLink } from '#lease/WitnessLink.js';

/**
 * Returns the end of the lease: the send time of the newest renewal that a majority granted, plus L.
 * With three witnesses that is the second newest granted renewal. Without a majority it is `-Infinity`.
 */
export function computeLeaseEnd(links: readonly WitnessLink[], config: LeaseConfig): number {
  const sentAtMs = links
    .map(({ grantedSentAtMs }) => grantedSentAtMs ?? -Infinity)
    .sort((left, right) => right - left);
  return (sentAtMs[majorityOf(links.length) - 1] ?? -Infinity) + config.leaseMs;
}
