/** State of a daemon's own cell. */
export interface CellStatus {
  /** Name of the cell's object in the store; empty before the start. */
  readonly cellName: string;
  readonly cellVersion: number;
  readonly ownedShards: number;
  /** Owned shards that may be used while the lease is valid. */
  readonly usableShards: number;
  /** Whether the last call to the store succeeded. */
  readonly storeReachable: boolean;
}
