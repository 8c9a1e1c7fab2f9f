import type { HotKey } from '#admin/HotKey.js';
import type { Cell } from '#assignment/Cell.js';
import { readPlacement } from '#assignment/ReadPlacement.js';

/** Lists the hot keys of a cell. The rates are 0, because a cell does not hold them. */
export function listHotKeyRows(cell: Cell): readonly HotKey[] {
  return Object.entries(cell.shards)
    .filter(([shardId]) => shardId.includes('/key:'))
    .map(([shardId, { owner, token }]) => ({
      service: cell.service,
      placement: readPlacement(shardId),
      keyHash: shardId.slice(shardId.lastIndexOf(':') + 1),
      owner,
      token,
      requestsPerSecond: 0,
    }));
}
