import type { Grant } from '#mesh/Grant.js';

/** Reply to an announcement. Without a grant, the backend server's previous grant is not extended. */
export interface AnnouncementReply {
  /** False if a later process of the backend server has already announced itself, or if `retry` is set. */
  readonly accepted: boolean;
  /** Whether the same announcement may be accepted later: the store does not contain yet that the server leaves. */
  readonly retry?: boolean;
  readonly grant: Grant | undefined;
}
