import type { Cell } from '#assignment/Cell.js';
import { isWithdrawn } from '#assignment/IsWithdrawn.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import type { Move } from '#assignment/Move.js';
import type { MoveBudget } from '#assignment/MoveBudget.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';

const SECOND_MS = 1_000;
/** Minimum rate of each member; spreading a drain over more time gains nothing. */
const MIN_SHARDS_PER_SECOND = 8;
/** Time after which a drain move that did not complete is planned again. */
const RETRY_DELAY_MS = 5_000;

/**
 * Plans the moves that empty draining and withdrawn members, each at an even rate so that it takes `drainMs`. `choose`
 * returns the new owner of a shard, or an empty string if there is none.
 */
export function planDrains(
  cell: Cell,
  withdrawn: readonly WithdrawalTarget[],
  budget: MoveBudget,
  nowMs: number,
  choose: (shardId: string) => string,
): readonly Move[] {
  const leaving = cell.members.filter(
    (member) => member.state === 'draining' || (member.state === 'active' && isWithdrawn(member, withdrawn)),
  );
  return leaving.flatMap(({ serverId }) =>
    listDueShards(cell, serverId, budget, nowMs)
      .map((shardId): Move => ({ shardId, from: serverId, to: choose(shardId), reason: 'drain' }))
      .filter((move) => move.to !== ''),
  );
}

function listDueShards(cell: Cell, serverId: string, budget: MoveBudget, nowMs: number): readonly string[] {
  const recent = budget.recent.filter((move) => move.from === serverId && move.reason === 'drain');
  const begun = recent.filter((move) => move.atMs > nowMs - RETRY_DELAY_MS);
  const pending = new Set(begun.map((move) => move.shardId));
  const waiting = listOwnedShards(cell, serverId).filter((shardId) => !pending.has(shardId));
  const rate = Math.max(
    MIN_SHARDS_PER_SECOND,
    Math.ceil(((waiting.length + begun.length) * SECOND_MS) / budget.drainMs),
  );
  const lastSecond = recent.filter((move) => move.atMs > nowMs - SECOND_MS).length;
  return waiting.slice(0, Math.max(0, rate - lastSecond));
}
