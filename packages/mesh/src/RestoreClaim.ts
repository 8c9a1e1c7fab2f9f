import type { RangeRow } from '#ranges/RangeRow.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import type { HeldLease } from '#mesh/HeldLease.js';
import type { StoredRangeTable } from '#mesh/StoredRangeTable.js';

/** A restored table in which rows can be claimed, with the lease under which that is done. */
interface ClaimableTable {
  readonly table: StoredRangeTable;
  readonly lease: HeldLease;
}

/**
 * The rows that a daemon owned by the last table before a restore of the store, until the restored table contains them. They
 * are granted only under the lease that was renewed before the restore.
 */
export class RestoreClaim {
  public readonly rows: readonly RangeRow[];
  private restored: StoredRangeTable | undefined;
  private renewed: HeldLease | undefined;
  private dueMs = 0;

  public constructor(rows: readonly RangeRow[]) {
    this.rows = rows;
  }

  /** The restored table, with revision 0 if the store has none; undefined until it was read. */
  public get table(): StoredRangeTable | undefined {
    return this.restored;
  }

  /** The lease that was renewed after the restore. */
  public get lease(): HeldLease | undefined {
    return this.renewed;
  }

  /** Forgets what was read before the last restore. The rows are claimed from the monotonic time `dueMs` on. */
  public restart(dueMs: number): void {
    this.restored = undefined;
    this.renewed = undefined;
    this.dueMs = dueMs;
  }

  /** Notes the lease after the restore; undefined if it was given up. */
  public noteLease(lease: HeldLease | undefined): void {
    this.renewed = lease;
  }

  public noteTable(table: StoredRangeTable): void {
    if (this.restored === undefined || this.restored.revision < table.revision) this.restored = table;
  }

  /** Notes that the store has no table, so that the rows are claimed in `table`. */
  public noteMissing(table: RangeTable): void {
    this.restored ??= { table, revision: 0 };
  }

  /** Returns what is needed for the claim once it is due; `nowMs` is monotonic, `elapsedMs` is of the elapsed clock. */
  public findClaimable(nowMs: number, elapsedMs: number): ClaimableTable | undefined {
    const { restored: table, renewed: lease } = this;
    if (table === undefined || lease === undefined) return undefined;
    return lease.untilMs > elapsedMs && nowMs >= this.dueMs ? { table, lease } : undefined;
  }
}
