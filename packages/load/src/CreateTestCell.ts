import type { AssignmentPolicy } from '#assignment/AssignmentPolicy.js';
import type { Cell } from '#assignment/Cell.js';
import { createCell } from '#assignment/CreateCell.js';
import { ensurePlacements } from '#assignment/EnsurePlacements.js';
import { joinCell } from '#assignment/JoinCell.js';
import { createTestMember } from '#load/CreateTestMember.js';

/** Returns a cell with `count` members and one placement for all regions, for measurements without servers. */
export function createTestCell(count: number, policy: AssignmentPolicy): Cell {
  const indexes = Array.from({ length: count }, (_, index) => index);
  const joined = indexes.reduce(
    (cell, index) => joinCell(cell, createTestMember(index), { policy }),
    createCell('permits', 0),
  );
  return ensurePlacements(joined, ['*'], { policy });
}
