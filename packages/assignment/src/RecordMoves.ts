import type { Move } from '#assignment/Move.js';
import type { MoveBudget } from '#assignment/MoveBudget.js';

const RETENTION_MS = 60_000;

/** Adds moves that begin now to the budget and drops those that no longer count. */
export function recordMoves(budget: MoveBudget, moves: readonly Move[], nowMs: number): MoveBudget {
  const kept = budget.recent.filter((move) => move.atMs > nowMs - RETENTION_MS);
  return { ...budget, recent: [...kept, ...moves.map((move) => ({ ...move, atMs: nowMs }))] };
}
