import type { RouterError } from '#core/RouterError.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { Either } from 'purify-ts';
import type { Announcement } from '#mesh/Announcement.js';
import type { AnnouncementReply } from '#mesh/AnnouncementReply.js';
import type { PresenceEvidence } from '#mesh/PresenceEvidence.js';
import type { Refusal } from '#mesh/Refusal.js';

/** Messages of `PresenceTask`. */
export type PresenceMessage =
  | {
      readonly type: 'announced';
      readonly announcement: Announcement;
      readonly reply: (reply: AnnouncementReply) => void;
    }
  | {
      readonly type: 'withdrawn';
      readonly instanceId: string;
      /** Start of the run that leaves; undefined if it does not say. */
      readonly bornMs: number | undefined;
      readonly reply: () => void;
    }
  | { readonly type: 'evidence'; readonly evidence: PresenceEvidence }
  /** A run that refused a connection may have been silent for long enough. */
  | { readonly type: 'confirm'; readonly refusal: Refusal }
  /** Term of the lease under which this daemon grants keys. */
  | { readonly type: 'term'; readonly term: number }
  | { readonly type: 'publish' }
  | { readonly type: 'published'; readonly result: Either<RouterError, CollectionPutResult> };
