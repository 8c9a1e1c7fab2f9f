import type { HeldRow } from '#mesh/HeldRow.js';

/** Whether a grant covers a whole row under its epoch. */
export function isGranted({ from, to, epoch }: HeldRow, grant: readonly HeldRow[]): boolean {
  return grant.some((row) => row.epoch === epoch && row.from <= from && row.to >= to);
}
