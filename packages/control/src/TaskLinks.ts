import type { CellMessage } from '#control/CellMessage.js';
import type { ControlEvent } from '#control/ControlEvent.js';
import type { FenceMessage } from '#control/FenceMessage.js';
import type { LeaseMessage } from '#control/LeaseMessage.js';
import type { MembershipMessage } from '#control/MembershipMessage.js';
import type { MoveMessage } from '#control/MoveMessage.js';
import type { SpreadMessage } from '#control/SpreadMessage.js';
import type { WitnessMessage } from '#control/WitnessMessage.js';

/** Functions by which the control tasks of one daemon send messages to each other and to the request path. */
export interface TaskLinks {
  readonly cell: (message: CellMessage) => void;
  readonly fence: (message: FenceMessage) => void;
  readonly lease: (message: LeaseMessage) => void;
  readonly membership: (message: MembershipMessage) => void;
  readonly move: (message: MoveMessage) => void;
  readonly spread: (message: SpreadMessage) => void;
  readonly witness: (message: WitnessMessage) => void;
  readonly emit: (event: ControlEvent) => void;
}
