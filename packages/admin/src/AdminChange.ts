import type { LogFields } from '#core/LogFields.js';

/** An accepted change as it is logged, together with its author. */
export interface AdminChange {
  readonly event: string;
  readonly fields: LogFields;
}
