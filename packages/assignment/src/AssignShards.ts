import type { AssignOptions } from '#assignment/AssignOptions.js';
import type { Cell } from '#assignment/Cell.js';
import { CostAwarePolicy } from '#assignment/CostAwarePolicy.js';
import { emptyLoads } from '#assignment/EmptyLoads.js';

const DEFAULT_POLICY = new CostAwarePolicy();

/**
 * Assigns shards that no member may be serving to owners chosen by the policy. The new token is `version + 1`, the
 * version that the write will get. Each shard keeps its fences.
 */
export function assignShards(cell: Cell, shardIds: readonly string[], options: AssignOptions): Cell {
  if (shardIds.length === 0) return cell;
  const policy = options.policy ?? DEFAULT_POLICY;
  const owners = policy.placeShards(cell, shardIds, options.loads ?? emptyLoads, options.withdrawn ?? []);
  const changed = shardIds.map((shardId) => {
    const fences = cell.shards[shardId]?.fences ?? [];
    return [shardId, { owner: owners.get(shardId) ?? '', token: cell.version + 1, fences }] as const;
  });
  return { ...cell, shards: { ...cell.shards, ...Object.fromEntries(changed) } };
}
