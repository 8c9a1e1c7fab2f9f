import type { Grant } from '#mesh/Grant.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import type { ReleasedRow } from '#mesh/ReleasedRow.js';

/** The part of an announcement that concerns keys, and the callback for the reply with the new grant. */
export interface CheckIn {
  readonly incarnation: string;
  readonly holds: readonly HeldRow[];
  readonly released: readonly ReleasedRow[];
  /** Whether it is about to leave, so that its keys have to move. */
  readonly leaving: boolean;
  readonly slots: number;
  readonly reply: (grant: Grant | undefined) => void;
}
