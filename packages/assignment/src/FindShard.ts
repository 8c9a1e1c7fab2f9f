import type { Cell } from '#assignment/Cell.js';
import { digestKey } from '#assignment/DigestKey.js';
import type { FoundShard } from '#assignment/FoundShard.js';
import { slotOfDigest } from '#assignment/SlotOfDigest.js';

/** Finds the shard of a key: its hot-key row, else its hash slot; undefined if the cell lacks the placement. */
export function findShard(cell: Cell, placement: string, key: string): FoundShard | undefined {
  const digest = digestKey(key);
  const rowId = `${placement}/key:${digest}`;
  const row = cell.shards[rowId];
  if (row !== undefined) return { shardId: rowId, shard: row };
  const slotId = `${placement}/${slotOfDigest(digest)}`;
  const slot = cell.shards[slotId];
  return slot === undefined ? undefined : { shardId: slotId, shard: slot };
}
