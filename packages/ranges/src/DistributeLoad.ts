import { distributeRanges } from '#ranges/DistributeRanges.js';
import type { KeyLoads } from '#ranges/KeyLoads.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';
import type { RangeTransfer } from '#ranges/RangeTransfer.js';

/** Number of keys that are not cut apart. */
const KEYS_PER_PIECE = 32;

/**
 * Part of the weight of a key that is independent of its load: keys that are not in use now still have to be divided, as
 * they may be used next.
 */
const KEY_WEIGHT = 0.25;

/**
 * Divides ranges among owners so that each receives nearly the same measured load. Busy keys lie close together, so that
 * with equal numbers of keys one owner would receive most of the load.
 */
export function distributeLoad(
  ranges: readonly KeyRange[],
  owners: readonly RangeOwner[],
  loads: KeyLoads,
  nowMs: number,
): readonly RangeTransfer[] {
  const pieces = ranges.flatMap(cutPieces).map((piece) => ({ ...piece, load: loads.sum(piece, nowMs) }));
  const total = pieces.reduce((sum, { load }) => sum + load, 0);
  if (total <= 0 || owners.length === 0) return distributeRanges(ranges, owners);
  const transfers: RangeTransfer[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
  let assigned = 0;
  for (const { from, to, load } of pieces) {
    const weight = (load / total) * (1 - KEY_WEIGHT) + KEY_WEIGHT / pieces.length;
    const index = Math.min(owners.length - 1, Math.floor((assigned + weight / 2) * owners.length));
    const owner = owners[index];
    const last = transfers.at(-1);
    if (owner === undefined) break;
    if (last?.owner === owner && last.to === from - 1) transfers[transfers.length - 1] = { ...last, to };
    else transfers.push({ from, to, owner, handover: '' });
    assigned += weight;
  }
  return transfers;
}

function cutPieces({ from, to }: KeyRange): readonly KeyRange[] {
  const first = Math.floor(from / KEYS_PER_PIECE);
  const last = Math.floor(to / KEYS_PER_PIECE);
  return Array.from({ length: last - first + 1 }, (_, index) => ({
    from: Math.max(from, (first + index) * KEYS_PER_PIECE),
    to: Math.min(to, (first + index + 1) * KEYS_PER_PIECE - 1),
  }));
}
