import { overlaps } from '#ranges/Overlaps.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import type { PendingRelease } from '#mesh/PendingRelease.js';

/**
 * Advances releases by an announcement. Only an announcement that follows the answer which left the keys out can free
 * them: an earlier one may have been sent before the backend server received its last grant.
 */
export function advanceReleases(
  releases: readonly PendingRelease[],
  holds: readonly HeldRow[],
): readonly PendingRelease[] {
  return releases.map((release) => {
    const isHeld = holds.some((row) => overlaps(row, release));
    return release.step === 'told' && !isHeld ? { ...release, step: 'free' } : release;
  });
}
