import type { AdminChange } from '#admin/AdminChange.js';

/** Response of the administration API before it is encoded. */
export interface AdminReply {
  readonly status: number;
  /** Sent as JSON, or as plain text if it is a string. */
  readonly body: unknown;
  /** Sent as `ETag`. */
  readonly version?: number;
  /** The accepted change, which is logged. */
  readonly change?: AdminChange;
}
