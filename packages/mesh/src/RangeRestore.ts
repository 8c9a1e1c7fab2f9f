import { claimRanges } from '#ranges/ClaimRanges.js';
import { computeTokenFloor } from '#ranges/ComputeTokenFloor.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import { raiseTokens } from '#ranges/RaiseTokens.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import { StoreVersion } from '#store/StoreVersion.js';

/**
 * Decides what a daemon may do with a range table that was restored from a backup and may name earlier owners. A row is
 * proven if it was written in the present era: then its keys were claimed by their holder, or the grants of all former
 * holders had expired. In era 0 each row is proven. Times are monotonic, in milliseconds.
 */
export class RangeRestore {
  private era = 0;
  private isFirst = true;
  private learnedMs = -Infinity;
  private settledMs = -Infinity;
  private seenToken = 0;

  /** Notes that this daemon learned of a later era; leases of earlier eras end within `longestLeaseMs`. */
  public noteEra(era: number, isFirst: boolean, nowMs: number, longestLeaseMs: number): void {
    this.era = era;
    this.isFirst = isFirst;
    this.learnedMs = nowMs;
    this.settledMs = nowMs + longestLeaseMs;
  }

  /** Notes a fencing token that this daemon or its backend server has seen. */
  public noteToken(token: number): void {
    this.seenToken = Math.max(this.seenToken, token);
  }

  /** Last known era of the store. */
  public get currentEra(): number {
    return this.era;
  }

  /** Whether this process has known an earlier era. */
  public get hasChanged(): boolean {
    return this.era > 0 && !this.isFirst;
  }

  /** Whether all grants that were given in earlier eras have expired. */
  public hasSettled(nowMs: number): boolean {
    return nowMs >= this.settledMs;
  }

  /** Time for which this daemon has known the era. */
  public ageMs(nowMs: number): number {
    return nowMs - this.learnedMs;
  }

  /** Whether a version was read in an earlier era. */
  public isOutdated(version: number): boolean {
    return StoreVersion.eraOf(version) < this.era;
  }

  public isProven({ epoch }: Pick<RangeRow, 'epoch'>): boolean {
    return epoch >= computeTokenFloor(this.era);
  }

  /** Returns the lowest token for the next written row; 0 if that is decided by the table alone. */
  public get nextToken(): number {
    return this.era === 0 ? 0 : Math.max(computeTokenFloor(this.era), this.seenToken + 1);
  }

  /** Prepares a table for the next transfer. */
  public raise(table: RangeTable): RangeTable {
    return raiseTokens(table, this.nextToken);
  }

  /** Gives keys that `owner` holds to it, except those that were written in this era. */
  public claim(table: RangeTable, owner: RangeOwner, keys: readonly KeyRange[]): RangeTable {
    return claimRanges(table, owner, keys, {
      eraFloor: computeTokenFloor(this.era),
      next: this.nextToken,
    });
  }
}
