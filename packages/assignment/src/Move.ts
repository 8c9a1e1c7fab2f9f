/** A planned move of one shard, carried out by its owner `from`. */
export interface Move {
  readonly shardId: string;
  readonly from: string;
  readonly to: string;
  /** `drain` empties a member that leaves; `balance` evens out load; `home` returns a cold row to its slot's owner. */
  readonly reason: 'drain' | 'balance' | 'home';
}
