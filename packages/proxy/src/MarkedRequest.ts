import type { QuarantineRow } from '#admission/QuarantineRow.js';

/** A request with marks; team, service and class are empty if they were forgotten. */
export interface MarkedRequest extends QuarantineRow {
  readonly team: string;
  readonly service: string;
  readonly class: string;
}
