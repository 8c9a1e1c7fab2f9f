import type { Grant } from '#mesh/Grant.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import type { ReleasedRow } from '#mesh/ReleasedRow.js';

/** What a backend server says of its keys, and where to send those that it may hold. */
export interface CheckIn {
  readonly incarnation: string;
  readonly holds: readonly HeldRow[];
  readonly released: readonly ReleasedRow[];
  /** Whether it is about to leave. */
  readonly leaving: boolean;
  readonly slots: number;
  readonly reply: (grant: Grant | undefined) => void;
}
