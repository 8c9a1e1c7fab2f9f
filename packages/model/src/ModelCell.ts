import type { ModelFence } from '#model/ModelFence.js';
import type { ModelRecords } from '#model/ModelRecords.js';

/** The cell object with one shard. `epoch` and `set` are those of server 0. */
export interface ModelCell {
  readonly version: number;
  readonly owner: number;
  readonly token: number;
  readonly fences: readonly ModelFence[];
  readonly epoch: number;
  readonly set: number;
  readonly gone: readonly boolean[];
  /** Records that a planned move hands over; undefined after a takeover. */
  readonly records: ModelRecords | undefined;
}
