/** Requests per second by shard id. */
export type ShardLoads = Readonly<Record<string, number>>;
