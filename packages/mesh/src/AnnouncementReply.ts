import type { Grant } from '#mesh/Grant.js';

/** Answer to an announcement. Without a grant, nothing that the backend server holds is renewed. */
export interface AnnouncementReply {
  /** False for an announcement of an earlier run. */
  readonly accepted: boolean;
  readonly grant: Grant | undefined;
}
