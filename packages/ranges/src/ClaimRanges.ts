import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import { raiseTokens } from '#ranges/RaiseTokens.js';
import { subtractRanges } from '#ranges/SubtractRanges.js';
import { transferRanges } from '#ranges/TransferRanges.js';

/** What a claim needs of the tokens of an era. */
interface ClaimTokens {
  /** Rows with this token or a higher one were written since the restore and are not claimed. */
  readonly eraFloor: number;
  /** Lowest token for the claimed rows. */
  readonly next: number;
}

/**
 * Gives keys that `owner` proves to hold to it, in a table that was restored from a backup and may name an earlier owner.
 * Returns the table itself if all of them were written since the restore.
 */
export function claimRanges(
  table: RangeTable,
  owner: RangeOwner,
  keys: readonly KeyRange[],
  { eraFloor, next }: ClaimTokens,
): RangeTable {
  const written = table.rows.filter(({ epoch }) => epoch >= eraFloor);
  const claimed = subtractRanges(
    keys.map(({ from, to }) => ({ from, to })),
    written,
  );
  if (claimed.length === 0) return table;
  return transferRanges(
    raiseTokens(table, next),
    claimed.map((keyRange) => ({ ...keyRange, owner, handover: '' })),
  );
}
