import type { Cell } from '#assignment/Cell.js';
import { completeMove } from '#assignment/CompleteMove.js';
import type { Move } from '#assignment/Move.js';

/** Completes several moves in one change of the cell, as in a drain; moves that are no longer allowed are skipped. */
export function completeMoves(cell: Cell, moves: readonly Move[]): Cell {
  return moves.reduce(
    (state, { shardId, from, to }) => completeMove(state, shardId, from, to).orDefault(state),
    cell,
  );
}
