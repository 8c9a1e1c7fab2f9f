import type { Digest } from '#control/Digest.js';
import type { ShardLoads } from '#control/ShardLoads.js';

/** Parameters and result of the call `digest`, by which two daemons compare the versions that they hold. */
export interface DigestCall {
  readonly digest: Digest;
  /** Load of the sender's busiest shards. */
  readonly loads?: ShardLoads;
}
