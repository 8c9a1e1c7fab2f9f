import { Left, Right, type Either } from 'purify-ts';
import { RouterError } from '#core/RouterError.js';
import type { Cell } from '#assignment/Cell.js';
import { dropUnreferenced } from '#assignment/DropUnreferenced.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';

/** Removes a leaving member. Left: `ownsShards` if it still owns shards. */
export function removeMember(cell: Cell, serverId: string): Either<RouterError, Cell> {
  if (listOwnedShards(cell, serverId).length > 0) return Left(createError(serverId));
  const members = cell.members.filter((member) => member.serverId !== serverId);
  return Right(dropUnreferenced({ ...cell, members }));
}

function createError(serverId: string): RouterError {
  return new RouterError(
    { code: 'ownsShards', step: 'move', peer: serverId, ran: 'not run', status: 409 },
    `${serverId} still owns shards`,
  );
}
