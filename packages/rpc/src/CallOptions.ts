import type { Channel } from '#rpc/Channel.js';

/** Channel and timeout of one remote call. */
export interface CallOptions {
  readonly channel: Channel;
  /** Time after which the call fails with `peerSilent`, in milliseconds. */
  readonly timeoutMs: number;
}
