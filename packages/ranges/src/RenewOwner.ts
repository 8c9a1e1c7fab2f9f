import { isSameOwner } from '#ranges/IsSameOwner.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import { transferRanges } from '#ranges/TransferRanges.js';

/**
 * Transfers keys that a VM owns under an earlier incarnation of its backend server, or an earlier lease term, to the
 * current owner. Returns the table itself if there are none.
 */
export function renewOwner(table: RangeTable, owner: RangeOwner): RangeTable {
  const outdated = table.rows.filter((row) => row.serverId === owner.serverId && !isSameOwner(row, owner));
  if (outdated.length === 0) return table;
  return transferRanges(
    table,
    outdated.map(({ from, to }) => ({ from, to, owner, handover: '' })),
  );
}
