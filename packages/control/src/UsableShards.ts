import type { Cell } from '#assignment/Cell.js';
import { listUsableShards } from '#control/ListUsableShards.js';
import type { OwnedShard } from '#control/OwnedShard.js';

const NO_SHARDS: ReadonlyMap<string, OwnedShard> = new Map();

/**
 * Tracks the shards that this daemon may use: it owns them in its cell, their fences are satisfied, and they are not
 * being moved away. Used only by the cell task.
 */
export class UsableShards {
  private satisfied: ReadonlySet<number> = new Set();
  private withheld: ReadonlySet<string> = new Set();
  private shards: ReadonlyMap<string, OwnedShard> = NO_SHARDS;

  /** The shards as of the last call of `update`; the same map object until the next call. */
  public get current(): ReadonlyMap<string, OwnedShard> {
    return this.shards;
  }

  public isSatisfied(fenceId: number): boolean {
    return this.satisfied.has(fenceId);
  }

  public satisfy(fenceId: number): void {
    this.satisfied = new Set([...this.satisfied, fenceId]);
  }

  /** Forgets satisfied fences that the cell no longer lists. */
  public forgetCleared(cell: Cell): void {
    const open = new Set(cell.fences.map((fence) => fence.id));
    this.satisfied = new Set([...this.satisfied].filter((id) => open.has(id)));
  }

  /** Excludes shards that are being moved away. */
  public withhold(shardIds: readonly string[]): void {
    this.withheld = new Set([...this.withheld, ...shardIds]);
  }

  /** Includes shards again whose transfer has ended. */
  public restore(shardIds: readonly string[]): void {
    this.withheld = new Set([...this.withheld].filter((id) => !shardIds.includes(id)));
  }

  /** Recomputes the usable shards; without a cell there are none. */
  public update(cell: Cell | undefined, serverId: string): void {
    this.shards =
      cell === undefined ? NO_SHARDS : listUsableShards(cell, serverId, this.satisfied, this.withheld);
  }
}
