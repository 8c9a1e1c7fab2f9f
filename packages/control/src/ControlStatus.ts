import type { CellStatus } from '#control/CellStatus.js';
import type { LeaseStatus } from '#control/LeaseStatus.js';
import type { SpreadStatus } from '#control/SpreadStatus.js';

/** State of a daemon's control plane, for operators. */
export interface ControlStatus {
  /** State of charts/membership.json. */
  readonly membership: string;
  readonly lease: LeaseStatus;
  readonly cell: CellStatus;
  readonly spread: SpreadStatus;
}
