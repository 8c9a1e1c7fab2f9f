import type { ShardReleaseRequest } from '#control/ShardReleaseRequest.js';

/** Shard releases that wait for requests in flight or for the ownership update. Used only by the owner task. */
export class ShardReleases {
  private readonly requests = new Map<string, ShardReleaseRequest>();
  /** Shards with a pending release that the last ownership update no longer contained. */
  private readonly disowned = new Set<string>();

  public has(shardId: string): boolean {
    return this.requests.has(shardId);
  }

  public get(shardId: string): ShardReleaseRequest | undefined {
    return this.requests.get(shardId);
  }

  public add(request: ShardReleaseRequest): void {
    this.requests.set(request.shardId, request);
  }

  /** Ends a release. */
  public end(shardId: string): void {
    this.requests.delete(shardId);
    this.disowned.delete(shardId);
  }

  /**
   * Applies an ownership update: ends the releases of shards that are no longer owned. A release that waits for
   * requests in flight is kept until they end. If the shard is owned again before that, its move was abandoned and the
   * release ends.
   */
  public noteOwnership(isOwned: (shardId: string) => boolean, isRunning: (shardId: string) => boolean): void {
    for (const shardId of [...this.requests.keys()]) {
      const owned = isOwned(shardId);
      if (!owned && isRunning(shardId)) this.disowned.add(shardId);
      else if (!owned || this.disowned.has(shardId)) this.end(shardId);
    }
  }
}
