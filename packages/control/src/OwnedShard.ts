/** A shard that this daemon may act on while its lease is valid. */
export interface OwnedShard {
  readonly shardId: string;
  readonly token: number;
}
