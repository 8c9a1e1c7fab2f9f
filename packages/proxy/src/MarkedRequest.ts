import type { QuarantineRow } from '#admission/QuarantineRow.js';

/** A request with crash marks; team, service and class are empty if they are no longer known. */
export interface MarkedRequest extends QuarantineRow {
  readonly team: string;
  readonly service: string;
  readonly class: string;
}
