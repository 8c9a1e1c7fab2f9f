import type { Cell } from '#assignment/Cell.js';
import { completeMove } from '#assignment/CompleteMove.js';
import type { Move } from '#assignment/Move.js';

/** Completes several moves in one change of the cell, as a drain needs; moves that are no longer allowed are left out. */
export function completeMoves(cell: Cell, moves: readonly Move[]): Cell {
  return moves.reduce(
    (state, { shardId, from, to }) => completeMove(state, shardId, from, to).orDefault(state),
    cell,
  );
}
