import type { Cell } from '#assignment/Cell.js';
import { findShard } from '#assignment/FindShard.js';
import { formatPlacement } from '#assignment/FormatPlacement.js';
import { putCell } from '#assignment/PutCell.js';
import type { OwnedShard } from '#control/OwnedShard.js';
import type { OwnershipUpdate } from '#control/OwnershipUpdate.js';
import type { Clock } from '#core/Clock.js';

/** The shards that this daemon owns, the end of its lease, and the cells that map keys to shards. */
export class OwnershipView {
  private update: OwnershipUpdate = { type: 'ownership', epoch: 0, leaseEndMs: 0, shards: new Map() };
  private cells: ReadonlyMap<string, Cell> = new Map();

  public constructor(private readonly clock: Clock) {}

  /** The last ownership update. */
  public get current(): OwnershipUpdate {
    return this.update;
  }

  public set(update: OwnershipUpdate): void {
    this.update = update;
  }

  public setCell(cell: Cell): void {
    this.cells = putCell(this.cells, cell);
  }

  /** Returns the shard of a key if this daemon owns it and its lease is valid now. */
  public findUsable(service: string, homeRegions: readonly string[], key: string): OwnedShard | undefined {
    const placement = formatPlacement(homeRegions);
    for (const cell of this.cells.values()) {
      if (cell.service !== service) continue;
      const found = findShard(cell, placement, key);
      if (found !== undefined && this.mayActOn(found.shardId)) return this.update.shards.get(found.shardId);
    }
    return undefined;
  }

  /** Returns whether the lease is valid now and covers the shard. */
  public mayActOn(shardId: string): boolean {
    return this.clock.monotonicMs() < this.update.leaseEndMs && this.update.shards.has(shardId);
  }
}
