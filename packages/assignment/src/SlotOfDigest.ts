import { slotCount } from '#assignment/SlotCount.js';

/**
 * Returns the hash slot of a key digest (16 hex digits). It uses the low half, because the high half selects the cell:
 * with the same bits, each of 64 cells would have keys in only two of its 128 slots.
 */
export function slotOfDigest(digest: string): number {
  return Number.parseInt(digest.slice(8), 16) % slotCount;
}
