import type { Digest } from '#control/Digest.js';
import type { Directory } from '#control/Directory.js';
import type { LeaseStatus } from '#control/LeaseStatus.js';
import type { RenewReply } from '#lease/RenewReply.js';

/** Requests and updates for the task that holds this daemon's lease. Times are monotonic, in milliseconds. */
export type LeaseMessage =
  | { readonly type: 'registering'; readonly startedMs: number }
  | {
      readonly type: 'registered';
      readonly epoch: number;
      readonly witnesses: readonly string[];
      readonly startedMs: number;
      /** Name of the cell object that lists the holder, so that witnesses of other services can fetch it. */
      readonly cellName: string;
    }
  | { readonly type: 'registrationRefused' }
  | { readonly type: 'directory'; readonly directory: Directory }
  | { readonly type: 'digest'; readonly digest: Digest }
  | { readonly type: 'reply'; readonly witness: string; readonly reply: RenewReply }
  | { readonly type: 'status'; readonly reply: (status: LeaseStatus) => void }
  | { readonly type: 'tick' };
