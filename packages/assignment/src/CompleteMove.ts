import { Left, Right, type Either } from 'purify-ts';
import { RouterError } from '#core/RouterError.js';
import { allowsRegion } from '#assignment/AllowsRegion.js';
import type { Cell } from '#assignment/Cell.js';
import { findMember } from '#assignment/FindMember.js';
import { readPlacement } from '#assignment/ReadPlacement.js';

/**
 * Moves a shard from its owner to an active member in the placement's regions. The shard gets a new token and keeps its
 * fences. Left: `notOwner` if `from` does not own the shard, `badTarget` if `to` may not own it.
 */
export function completeMove(
  cell: Cell,
  shardId: string,
  from: string,
  to: string,
): Either<RouterError, Cell> {
  const shard = cell.shards[shardId];
  if (shard?.owner !== from || from === '')
    return Left(createError('notOwner', from, `${from} does not own shard ${shardId}`));
  const target = findMember(cell, to);
  if (target?.state !== 'active' || !allowsRegion(readPlacement(shardId), target.region))
    return Left(createError('badTarget', to, `${to} may not own shard ${shardId}`));
  if (to === from) return Right(cell);
  const moved = { ...shard, owner: to, token: cell.version + 1 };
  return Right({ ...cell, shards: { ...cell.shards, [shardId]: moved } });
}

function createError(code: string, peer: string, message: string): RouterError {
  return new RouterError({ code, step: 'move', peer, ran: 'not run', status: 409 }, message);
}
