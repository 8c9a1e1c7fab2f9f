import type { ChartSnapshot } from '#chart/ChartSnapshot.js';

/** Result of one event: the next snapshot, the commands in order, and whether a transition was taken. */
export interface ChartStep<C, K> {
  readonly snapshot: ChartSnapshot<C>;
  readonly commands: readonly K[];
  readonly taken: boolean;
}
