import { isSameOwner } from '#ranges/IsSameOwner.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import { transferRanges } from '#ranges/TransferRanges.js';

/**
 * Gives the keys of a VM that stand under an earlier run of its backend server, or an earlier term of its lease, to the
 * present ones. Returns the table itself if there are none.
 */
export function renewOwner(table: RangeTable, owner: RangeOwner): RangeTable {
  const stale = table.rows.filter((row) => row.serverId === owner.serverId && !isSameOwner(row, owner));
  if (stale.length === 0) return table;
  return transferRanges(
    table,
    stale.map(({ from, to }) => ({ from, to, owner, handover: '' })),
  );
}
