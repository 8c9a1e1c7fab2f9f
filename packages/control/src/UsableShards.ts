import type { Cell } from '#assignment/Cell.js';
import { listUsableShards } from '#control/ListUsableShards.js';
import type { OwnedShard } from '#control/OwnedShard.js';

const NO_SHARDS: ReadonlyMap<string, OwnedShard> = new Map();

/**
 * The shards that this daemon may use: owned in its cell, with satisfied fences, and not being given away. Used by the
 * cell task alone.
 */
export class UsableShards {
  private satisfied: ReadonlySet<number> = new Set();
  private withheld: ReadonlySet<string> = new Set();
  private shards: ReadonlyMap<string, OwnedShard> = NO_SHARDS;

  /** The shards as of the last update; the same map until the next one. */
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

  /** Withdraws the use of shards that are given away. */
  public withhold(shardIds: readonly string[]): void {
    this.withheld = new Set([...this.withheld, ...shardIds]);
  }

  /** Ends the withdrawal of shards whose transfer ended. */
  public restore(shardIds: readonly string[]): void {
    this.withheld = new Set([...this.withheld].filter((id) => !shardIds.includes(id)));
  }

  /** Lists the shards anew; without a cell there are none. */
  public update(cell: Cell | undefined, serverId: string): void {
    this.shards =
      cell === undefined ? NO_SHARDS : listUsableShards(cell, serverId, this.satisfied, this.withheld);
  }
}
