import { formatRow } from '#mesh/FormatRow.js';
import type { HeldRow } from '#mesh/HeldRow.js';

/** Rows that are only in the later, and only in the earlier of two grants. */
interface GrantChange {
  readonly added: readonly HeldRow[];
  readonly removed: readonly HeldRow[];
}

/** Compares two successive grants to the same backend server. */
export function listGrantChange(before: readonly HeldRow[], after: readonly HeldRow[]): GrantChange {
  return { added: listMissing(after, before), removed: listMissing(before, after) };
}

function listMissing(rows: readonly HeldRow[], others: readonly HeldRow[]): readonly HeldRow[] {
  const known = new Set(others.map(formatRow));
  return rows.filter((row) => !known.has(formatRow(row)));
}
