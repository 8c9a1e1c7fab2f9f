import { overlaps } from '#ranges/Overlaps.js';
import { subtractRanges } from '#ranges/SubtractRanges.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import type { PendingRelease } from '#mesh/PendingRelease.js';
import type { ReleasedRow } from '#mesh/ReleasedRow.js';

/**
 * Marks releases as `free` after an announcement that does not list their keys as held. The announcement may have been
 * sent before the backend server received its last grant, so it frees keys only if it lists them as released, or if it
 * arrives after `earlierRepliesEndMs`.
 */
export function advanceReleases(
  releases: readonly PendingRelease[],
  holds: readonly HeldRow[],
  released: readonly ReleasedRow[],
  nowMs: number,
): readonly PendingRelease[] {
  return releases.map((release) => {
    if (release.step !== 'told' || holds.some((row) => overlaps(row, release))) return release;
    const isReleased = subtractRanges([release], released).length === 0;
    return isReleased || nowMs >= release.earlierRepliesEndMs ? { ...release, step: 'free' } : release;
  });
}
