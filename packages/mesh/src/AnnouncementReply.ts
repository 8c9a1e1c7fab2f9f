import type { Grant } from '#mesh/Grant.js';

/** Reply to an announcement. Without a grant, the backend server's previous grant is not extended. */
export interface AnnouncementReply {
  /** False if a later process of the backend server has already announced itself. */
  readonly accepted: boolean;
  readonly grant: Grant | undefined;
}
