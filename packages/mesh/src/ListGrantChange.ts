import type { HeldRow } from '#mesh/HeldRow.js';

/** Rows that one grant holds and another does not. */
interface GrantChange {
  readonly added: readonly HeldRow[];
  readonly removed: readonly HeldRow[];
}

/** Compares two grants to the same backend server. */
export function listGrantChange(before: readonly HeldRow[], after: readonly HeldRow[]): GrantChange {
  return { added: listMissing(after, before), removed: listMissing(before, after) };
}

function listMissing(rows: readonly HeldRow[], others: readonly HeldRow[]): readonly HeldRow[] {
  const known = new Set(others.map(nameOf));
  return rows.filter((row) => !known.has(nameOf(row)));
}

function nameOf({ from, to, epoch }: HeldRow): string {
  return `${from}-${to}@${epoch}`;
}
