import type { LogFields } from '#core/LogFields.js';

/** Log event of an accepted change; the author is added when it is logged. */
export interface AdminChange {
  readonly event: string;
  readonly fields: LogFields;
}
