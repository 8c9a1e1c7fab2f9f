import type { CollectionChange } from '#store/CollectionChange.js';
import type { CollectionChanges } from '#store/CollectionChanges.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionUpdate } from '#fanout/CollectionUpdate.js';

/** Deletions that are remembered; earlier ones are known only from a listing. */
const MAX_DELETIONS = 1_000;

interface KnownObject {
  readonly change: CollectionChange;
  /** Revision of the read that reported the change, and not that of the object, which a deletion may keep. */
  readonly readRevision: number;
}

/**
 * The changes of a collection that a daemon has read, for daemons that read them from it. Only the last change of each
 * object is kept, so that the size is bounded by the collection and by `MAX_DELETIONS`. Revisions only increase.
 */
export class ChangeHistory {
  private readonly collection: string;
  private readonly objects = new Map<string, KnownObject>();
  private unreadable: CollectionListing['unreadable'] = [];
  /** Revision since which all changes are known; undefined until the first listing. */
  private baseRevision: number | undefined;
  private headRevision = 0;
  private changedRevision = 0;

  public constructor(collection: string) {
    this.collection = collection;
  }

  /** Takes in a listing; objects that it lacks were deleted. */
  public noteListing({ items, unreadable, revision }: CollectionListing): void {
    if (revision < this.headRevision) return;
    const isFirst = this.baseRevision === undefined;
    this.baseRevision ??= revision;
    this.headRevision = revision;
    this.unreadable = unreadable;
    const present = new Set([...items, ...unreadable].map(({ name }) => name));
    for (const [name, { change }] of this.objects)
      if (!present.has(name) && !change.deleted)
        this.keep({ item: { name, revision, value: undefined }, deleted: true }, revision);
    for (const item of items) {
      const known = this.objects.get(item.name)?.change;
      if (known?.item.revision === item.revision && !known.deleted) continue;
      this.keep({ item, deleted: false }, isFirst ? item.revision : revision);
    }
    this.dropDeletions();
  }

  /** Takes in changes that follow the last read one. */
  public noteChanges({ changes, revision }: CollectionChanges): void {
    if (revision < this.headRevision) return;
    this.headRevision = revision;
    for (const change of changes) this.keep(change, revision);
    this.dropDeletions();
  }

  /** Whether a reader that knows everything up to `revision` lacks something. */
  public hasChangesAfter(revision: number): boolean {
    if (this.baseRevision === undefined) return false;
    return revision < this.baseRevision || this.changedRevision > revision;
  }

  /** Returns what a reader lacks that knows everything up to `revision`; undefined if it lacks nothing. */
  public readAfter(revision: number): CollectionUpdate | undefined {
    if (!this.hasChangesAfter(revision)) return undefined;
    const { collection, headRevision } = this;
    const known = [...this.objects.values()];
    if (revision < (this.baseRevision ?? 0)) {
      const items = known.filter(({ change }) => !change.deleted).map(({ change }) => change.item);
      const unreadable = this.unreadable.filter(({ name }) => !this.objects.has(name));
      return { type: 'listed', collection, listing: { items, unreadable, revision: headRevision } };
    }
    const changes = known.filter(({ readRevision }) => readRevision > revision).map(({ change }) => change);
    return { type: 'changed', collection, changes: { changes, unreadable: [], revision: headRevision } };
  }

  private keep(change: CollectionChange, readRevision: number): void {
    const { name } = change.item;
    // Deleted first, so that objects stay in the order of their changes.
    this.objects.delete(name);
    this.objects.set(name, { change, readRevision });
    this.changedRevision = Math.max(this.changedRevision, readRevision);
  }

  private dropDeletions(): void {
    const deletions = [...this.objects].filter(([, { change }]) => change.deleted);
    for (const [name, { readRevision }] of deletions.slice(
      0,
      Math.max(0, deletions.length - MAX_DELETIONS),
    )) {
      this.objects.delete(name);
      this.baseRevision = Math.max(this.baseRevision ?? 0, readRevision);
    }
  }
}
