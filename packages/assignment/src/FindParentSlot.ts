import { slotOfDigest } from '#assignment/SlotOfDigest.js';

const ROW_MARKER = '/key:';

/** Returns the id of the hash slot that a hot-key row belongs to; undefined for the id of a hash slot. */
export function findParentSlot(shardId: string): string | undefined {
  const at = shardId.lastIndexOf(ROW_MARKER);
  if (at < 0) return undefined;
  return `${shardId.slice(0, at)}/${slotOfDigest(shardId.slice(at + ROW_MARKER.length))}`;
}
