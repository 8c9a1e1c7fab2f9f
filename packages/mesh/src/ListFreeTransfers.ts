import { overlaps } from '#ranges/Overlaps.js';
import type { RangeTransfer } from '#ranges/RangeTransfer.js';
import { subtractRanges } from '#ranges/SubtractRanges.js';
import type { PendingRelease } from '#mesh/PendingRelease.js';
import type { ReleasedRow } from '#mesh/ReleasedRow.js';

/** Lists the transfers of free keys, split where the handover tokens of the released rows differ. */
export function listFreeTransfers(
  releases: readonly PendingRelease[],
  released: readonly ReleasedRow[],
): readonly RangeTransfer[] {
  return releases.filter(({ step }) => step === 'free').flatMap((release) => splitByToken(release, released));
}

function splitByToken(release: PendingRelease, released: readonly ReleasedRow[]): readonly RangeTransfer[] {
  const { from, to, owner } = release;
  const tokens = released.filter((row) => overlaps(row, release));
  const withToken = tokens.map((row) => ({
    from: Math.max(row.from, from),
    to: Math.min(row.to, to),
    owner,
    handover: row.handover,
  }));
  return [...withToken, ...subtractRanges([{ from, to, owner, handover: '' }], tokens)];
}
