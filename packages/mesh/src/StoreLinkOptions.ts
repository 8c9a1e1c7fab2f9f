import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { CollectionStore } from '#store/CollectionStore.js';

/** Collaborators and callbacks of `StoreLinkTask`. */
export interface StoreLinkOptions {
  readonly store: CollectionStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Reports that the connections were replaced, so that calls which wait on former ones have to be repeated. */
  readonly onReplaced: () => void;
  /** Reports that the kept connection carried the response to a probe that was sent at `sentMs`. */
  readonly onConfirmed: (sentMs: number) => void;
}
