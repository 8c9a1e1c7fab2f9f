/** Returns the placement part of a shard id. */
export function readPlacement(shardId: string): string {
  return shardId.slice(0, shardId.lastIndexOf('/'));
}
