import type { HeldRow } from '#mesh/HeldRow.js';

/** Whether two grants have the same rows in the same order. */
export function isSameGrant(left: readonly HeldRow[], right: readonly HeldRow[]): boolean {
  return left.length === right.length && left.every((row, index) => isSameRow(row, right[index]));
}

function isSameRow(left: HeldRow, right: HeldRow | undefined): boolean {
  return left.from === right?.from && left.to === right.to && left.epoch === right.epoch;
}
