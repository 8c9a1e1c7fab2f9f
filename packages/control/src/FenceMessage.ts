import type { Fence } from '#assignment/Fence.js';
import type { Directory } from '#control/Directory.js';
import type { PromiseReply } from '#lease/PromiseReply.js';

/** Updates for the task that collects promises from the witnesses of lost members. */
export type FenceMessage =
  /** The fences of all shards that this daemon owns now. */
  | { readonly type: 'fences'; readonly fences: readonly Fence[] }
  | { readonly type: 'directory'; readonly directory: Directory }
  | { readonly type: 'confirmedLost'; readonly serverIds: readonly string[] }
  | {
      readonly type: 'reply';
      readonly fenceId: number;
      readonly witness: string;
      readonly reply: PromiseReply;
    }
  | { readonly type: 'tick' };
