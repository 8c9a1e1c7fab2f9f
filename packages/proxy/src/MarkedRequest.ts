import type { QuarantineRow } from '#admission/QuarantineRow.js';

/** A request with marks; tenant, service and class are empty if they were forgotten. */
export interface MarkedRequest extends QuarantineRow {
  readonly tenant: string;
  readonly service: string;
  readonly class: string;
}
