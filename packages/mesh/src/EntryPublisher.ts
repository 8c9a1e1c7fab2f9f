import type { Either } from 'purify-ts';
import type { Cancel } from '#core/Cancel.js';
import type { RouterError } from '#core/RouterError.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import { StoreVersion } from '#store/StoreVersion.js';
import { collections } from '#mesh/Collections.js';
import type { EntryPublisherOptions } from '#mesh/EntryPublisherOptions.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';

/** Delay before a change is published, so that changes in quick succession are written once, in milliseconds. */
const PUBLISH_DELAY_MS = 60;

const PUBLISH_RETRY_MS = 400;

/** Keeps the stored entry of a daemon equal to its state by conditional writes, one at a time. Owned by one task. */
export class EntryPublisher {
  private readonly options: EntryPublisherOptions;
  /** Entry that the store contains as far as this process knows. */
  private published: ServerEntry | undefined;
  private pending: ServerEntry | undefined;
  private revision = 0;
  /** Last known era of the store. */
  private era = 0;
  private cancelPublish: Cancel | undefined;

  public constructor(options: EntryPublisherOptions) {
    this.options = options;
  }

  public get storedEntry(): ServerEntry | undefined {
    return this.published;
  }

  /** Notes the entry of a former process, and the revision of the stored object; 0 if there is none. */
  public noteFormer(entry: ServerEntry | undefined, revision: number): void {
    this.published = entry;
    this.revision = revision;
  }

  /** Notes that the store was restored, so that it no longer contains what was published. */
  public noteEra(era: number): void {
    this.era = era;
    this.published = undefined;
    this.schedule(0);
  }

  /** Publishes the entry soon, unless the store contains it already. */
  public schedule(delayMs = PUBLISH_DELAY_MS): void {
    if (this.cancelPublish !== undefined || this.pending !== undefined) return;
    if (isSameEntry(this.published, this.options.createEntry())) return;
    this.cancelPublish = this.options.clock.schedule(delayMs, () => this.options.onDue());
  }

  public publish(): void {
    this.cancelPublish = undefined;
    const entry = this.options.createEntry();
    if (this.pending !== undefined || isSameEntry(this.published, entry)) return;
    this.pending = entry;
    void this.options.store
      .put(collections.servers, entry.serverId, entry, this.revision)
      .then((result) => this.options.onWritten(result));
  }

  public noteWritten(result: Either<RouterError, CollectionPutResult>): void {
    const entry = this.pending;
    this.pending = undefined;
    result.caseOf({
      Left: (err) => {
        this.options.logger.log('publishFailed', { step: 'store', code: err.fields.code });
        this.schedule(PUBLISH_RETRY_MS);
      },
      Right: (put) => {
        if (put.type === 'accepted') {
          this.revision = put.item.revision;
          // The store was restored after this write.
          if (StoreVersion.eraOf(put.item.revision) < this.era) {
            this.schedule(0);
            return;
          }
          this.published = entry;
          if (entry !== undefined) this.options.onStored(entry);
          this.schedule();
          return;
        }
        this.options.onConflict(put.current);
        this.schedule(0);
      },
    });
  }

  public stop(): void {
    this.cancelPublish?.();
  }
}

function isSameEntry(left: ServerEntry | undefined, right: ServerEntry): boolean {
  return left !== undefined && JSON.stringify(left) === JSON.stringify(right);
}
