import type { ModelFence } from '#model/ModelFence.js';
import type { ModelRecords } from '#model/ModelRecords.js';

/** The cell object with one shard. `epoch` and `witnessSet` (an index) are those of server 0. */
export interface ModelCell {
  readonly version: number;
  readonly owner: number;
  readonly token: number;
  readonly fences: readonly ModelFence[];
  readonly epoch: number;
  readonly witnessSet: number;
  /** Whether each server has been taken over and has not registered since. */
  readonly takenOver: readonly boolean[];
  /** Records that a planned move hands over; undefined after a takeover. */
  readonly records: ModelRecords | undefined;
}
