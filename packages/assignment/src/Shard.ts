/** Ownership of one shard. */
export interface Shard {
  /** Server id of the owner; empty while no member may own it. */
  readonly owner: string;
  /** Fencing token: the cell version at which the shard was last assigned. */
  readonly token: number;
  /** Ids of the fences that the owner has to satisfy before it may act. */
  readonly fences: readonly number[];
}
