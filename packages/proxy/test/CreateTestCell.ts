import type { Cell } from '#assignment/Cell.js';
import { createCell } from '#assignment/CreateCell.js';
import type { Member } from '#assignment/Member.js';

const SLOTS = 128;

/** Creates cell 0 of the service `badges`, with `owner` owning all shards under the same token. */
export function createTestCell(members: readonly Member[], owner: string, token = 1): Cell {
  const shard = { owner, token, fences: [] };
  const slots = Array.from({ length: SLOTS }, (_, slot) => [`*/${slot}`, shard] as const);
  return { ...createCell('badges', 0), version: token, members, shards: Object.fromEntries(slots) };
}
