import type { AdminChange } from '#admin/AdminChange.js';

/** The answer to a request to the administration API, before it is encoded. */
export interface AdminReply {
  readonly status: number;
  /** Value that is sent as JSON; a string is sent as plain text. */
  readonly body: unknown;
  /** Version that is sent as `ETag`. */
  readonly version?: number;
  /** The accepted change, for the log. */
  readonly change?: AdminChange;
}
