import type { CollectionPosition } from '#fanout/CollectionPosition.js';

/** Long-polling call by which a daemon gets the changes of all collections that follow its positions. */
export interface ChangesRequest {
  readonly positions: readonly CollectionPosition[];
  /** Time that the reader may wait for a change, in milliseconds. */
  readonly waitMs: number;
}
