import type { ShardReleaseRequest } from '#control/ShardReleaseRequest.js';

/** Releases of shards that wait for orders in flight or for the ownership. Used by the owner task alone. */
export class ShardReleases {
  private readonly requests = new Map<string, ShardReleaseRequest>();
  /** Shards of waiting releases that the ownership no longer lists. */
  private readonly withdrawn = new Set<string>();

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
    this.withdrawn.delete(shardId);
  }

  /**
   * Ends releases that the ownership confirms. One that waits for orders in flight stays until they end; if the shard is
   * owned again before that, its move was given up.
   */
  public review(isOwned: (shardId: string) => boolean, isRunning: (shardId: string) => boolean): void {
    for (const shardId of [...this.requests.keys()]) {
      const owned = isOwned(shardId);
      if (!owned && isRunning(shardId)) this.withdrawn.add(shardId);
      else if (!owned || this.withdrawn.has(shardId)) this.end(shardId);
    }
  }
}
