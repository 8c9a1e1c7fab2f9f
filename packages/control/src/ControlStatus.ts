import type { CellStatus } from '#control/CellStatus.js';
import type { LeaseStatus } from '#control/LeaseStatus.js';
import type { SpreadStatus } from '#control/SpreadStatus.js';

/** State of a daemon's control plane, for operators. */
export interface ControlStatus {
  readonly lease: LeaseStatus;
  readonly cell: CellStatus;
  readonly spread: SpreadStatus;
}
