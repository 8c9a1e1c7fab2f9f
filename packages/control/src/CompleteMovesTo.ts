import type { Cell } from '#assignment/Cell.js';
import { completeMove } from '#assignment/CompleteMove.js';
import { findMember } from '#assignment/FindMember.js';
import type { Move } from '#assignment/Move.js';

/** Completes planned moves to one member; undefined if the process that received the records was replaced. */
export function completeMovesTo(
  cell: Cell,
  moves: readonly Move[],
  to: string,
  incarnation: string,
): Cell | undefined {
  if (findMember(cell, to)?.incarnation !== incarnation) return undefined;
  return moves.reduce(
    (next, { shardId, from }) => completeMove(next, shardId, from, to).orDefault(next),
    cell,
  );
}
