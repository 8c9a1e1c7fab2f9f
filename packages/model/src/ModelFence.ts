/** A fence of the shard: the lost epoch of a server and the index of the witness set of that epoch. */
export interface ModelFence {
  readonly id: number;
  readonly server: number;
  readonly epoch: number;
  readonly witnessSet: number;
}
