import type { Digest } from '#control/Digest.js';
import type { Directory } from '#control/Directory.js';
import type { LeaseStatus } from '#control/LeaseStatus.js';
import type { RenewReply } from '#lease/RenewReply.js';

/** Messages to `LeaseTask`. Times are of the monotonic clock. */
export type LeaseMessage =
  | { readonly type: 'registering'; readonly startedMs: number }
  | {
      readonly type: 'registered';
      readonly epoch: number;
      readonly witnesses: readonly string[];
      readonly startedMs: number;
      /** Name of the cell object, by which witnesses of other services find it. */
      readonly cellName: string;
    }
  | { readonly type: 'registrationRefused' }
  | { readonly type: 'directory'; readonly directory: Directory }
  | { readonly type: 'digest'; readonly digest: Digest }
  | { readonly type: 'reply'; readonly witness: string; readonly reply: RenewReply }
  | { readonly type: 'status'; readonly reply: (status: LeaseStatus) => void }
  | { readonly type: 'tick' };
