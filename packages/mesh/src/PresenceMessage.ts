import type { RouterError } from '#core/RouterError.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { EraChange } from '#store/EraChange.js';
import type { Either } from 'purify-ts';
import type { Announcement } from '#mesh/Announcement.js';
import type { AnnouncementReply } from '#mesh/AnnouncementReply.js';
import type { PresenceEvidence } from '#mesh/PresenceEvidence.js';
import type { UnreachableServer } from '#mesh/UnreachableServer.js';

/** Messages to `PresenceTask`. */
export type PresenceMessage =
  | {
      readonly type: 'announced';
      readonly announcement: Announcement;
      readonly reply: (reply: AnnouncementReply) => void;
    }
  | {
      readonly type: 'withdrawn';
      readonly instanceId: string;
      /** Start time of the run that leaves; undefined if the message does not contain it. */
      readonly bornMs: number | undefined;
      /** `recorded` is false if the store does not contain the withdrawal yet, so that it has to be repeated. */
      readonly reply: (recorded: boolean) => void;
    }
  | { readonly type: 'evidence'; readonly evidence: PresenceEvidence }
  /** The daemon holds its lease under a new term. */
  | { readonly type: 'term'; readonly term: number }
  /** The keys of a run that is unreachable move when its last grant ends. */
  | { readonly type: 'unreachable'; readonly server: UnreachableServer }
  /** The result of reading the entry that a former process of this daemon left. */
  | { readonly type: 'read'; readonly result: Either<RouterError, CollectionItem | undefined> }
  | { readonly type: 'eraChanged'; readonly change: EraChange }
  | { readonly type: 'publish' }
  | { readonly type: 'published'; readonly result: Either<RouterError, CollectionPutResult> };
