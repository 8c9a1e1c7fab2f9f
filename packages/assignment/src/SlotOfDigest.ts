import { slotCount } from '#assignment/SlotCount.js';

/**
 * Returns the hash slot of a key digest (16 hex digits). It is taken from the low half, because the high half chooses
 * the cell: with the same bits, a cell of 64 would see keys in two of its 128 slots only.
 */
export function slotOfDigest(digest: string): number {
  return Number.parseInt(digest.slice(8), 16) % slotCount;
}
