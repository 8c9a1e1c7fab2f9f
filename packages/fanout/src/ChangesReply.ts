import type { CollectionUpdate } from '#fanout/CollectionUpdate.js';

/** A reader's reply to `ChangesRequest`. */
export interface ChangesReply {
  /** Age of the reader's last confirmation from the store, in milliseconds. */
  readonly ageMs: number;
  /** Collections in which something changed. */
  readonly updates: readonly CollectionUpdate[];
}
