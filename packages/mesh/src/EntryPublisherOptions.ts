import type { Either } from 'purify-ts';
import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { RouterError } from '#core/RouterError.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';

/** Collaborators and callbacks of `EntryPublisher`. */
export interface EntryPublisherOptions {
  readonly store: CollectionStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns the entry as it has to be now. */
  readonly createEntry: () => ServerEntry;
  /** Asks the owner to call `publish` from its mailbox. */
  readonly onDue: () => void;
  /** Passes the result of a write, with which the owner calls `noteWritten` from its mailbox. */
  readonly onWritten: (result: Either<RouterError, CollectionPutResult>) => void;
  /** Reports an entry that the store contains now. */
  readonly onStored: (entry: ServerEntry) => void;
  /** Reports the stored object, if any, that the store contains in place of the expected one. */
  readonly onConflict: (current: CollectionItem | undefined) => void;
}
