import type { HeldRow } from '#mesh/HeldRow.js';

/** Whether a grant contains a whole row with the same epoch. */
export function isGranted({ from, to, epoch }: HeldRow, grant: readonly HeldRow[]): boolean {
  return grant.some((row) => row.epoch === epoch && row.from <= from && row.to >= to);
}
