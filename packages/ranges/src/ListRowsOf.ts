import type { RangeRow } from '#ranges/RangeRow.js';
import type { RangeTable } from '#ranges/RangeTable.js';

/** Lists the rows whose keys the daemon of a VM grants. */
export function listRowsOf(table: RangeTable, serverId: string): readonly RangeRow[] {
  return table.rows.filter((row) => row.serverId === serverId);
}
