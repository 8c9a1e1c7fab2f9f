import { isTermEnded } from '#ranges/IsTermEnded.js';
import { fullKeyRange } from '#ranges/FullKeyRange.js';
import { overlaps } from '#ranges/Overlaps.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import type { LeaseRecord } from '#mesh/LeaseRecord.js';

/** State at the time at which the store carries out a write, against which the write is checked. */
interface AuditFacts {
  readonly readLease: (serverId: string) => LeaseRecord | undefined;
  /** Rows that the backend server of a VM holds or on which requests still run. */
  readonly listUsed: (serverId: string) => readonly HeldRow[];
}

/** Checks each accepted write of the range table and records violations. */
export class TableAudit {
  public readonly violations: string[] = [];
  private readonly facts: AuditFacts;

  public constructor(facts: AuditFacts) {
    this.facts = facts;
  }

  /**
   * Checks a write; `after` is undefined if the written table cannot be decoded. Rows of `before` with tokens below
   * `eraFloor` were written before the last restore of the store and may be claimed by their holder.
   */
  public noteWrite(
    writer: string,
    before: RangeTable | undefined,
    after: RangeTable | undefined,
    eraFloor: number,
  ): void {
    if (after === undefined) {
      this.violations.push(`${writer} writes a table that cannot be decoded`);
      return;
    }
    this.checkCover(writer, after);
    for (const row of before?.rows ?? []) {
      const changed = after.rows.filter((next) => overlaps(row, next) && !isSameRow(row, next));
      const lowest = Math.max(eraFloor, (before?.lastEpoch ?? 0) + 1);
      for (const next of changed) this.checkChange(writer, row, next, lowest, eraFloor);
    }
  }

  private checkCover(writer: string, { rows }: RangeTable): void {
    const ends = rows.map(({ to }) => to);
    const isWhole =
      rows.every(({ from, to }, index) => from === (ends[index - 1] ?? -1) + 1 && to >= from) &&
      ends.at(-1) === fullKeyRange.to;
    if (!isWhole)
      this.violations.push(
        `${writer} leaves keys out: ${rows.map(({ from, to }) => `${from}-${to}`).join(' ')}`,
      );
  }

  private checkChange(writer: string, row: RangeRow, next: RangeRow, lowest: number, eraFloor: number): void {
    // A daemon that does not know of the restore wrote this row. No daemon that knows of it grants the row.
    if (next.epoch < eraFloor) return;
    const change = `${describe(row)} to ${describe(next)}`;
    const isEnded = isTermEnded(row.term, this.facts.readLease(row.serverId));
    const isClaim = row.epoch < eraFloor && next.serverId === writer;
    if (row.serverId !== writer && !isEnded && !isClaim)
      this.violations.push(`${writer} changes a row of another: ${change}`);
    if (next.epoch < lowest) this.violations.push(`${writer} does not raise the epoch: ${change}`);
    if (next.serverId === row.serverId) return;
    const used = this.facts
      .listUsed(row.serverId)
      .find((held) => overlaps(held, row) && overlaps(held, next));
    if (used !== undefined)
      this.violations.push(`${writer} gives away keys in use (${used.from}-${used.to}): ${change}`);
  }
}

function isSameRow(left: RangeRow, right: RangeRow): boolean {
  return (
    left.serverId === right.serverId &&
    left.epoch === right.epoch &&
    left.term === right.term &&
    left.incarnation === right.incarnation
  );
}

function describe({ from, to, serverId, term, incarnation, epoch }: RangeRow): string {
  return `${from}-${to} ${serverId}:${term} ${incarnation} @${epoch}`;
}
