import type { HistoryItem } from '#admin/HistoryItem.js';
import type { Page } from '#admin/Page.js';
import type { PageRequest } from '#admin/PageRequest.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';
import { unwrapOrThrow } from '#daemon/UnwrapOrThrow.js';
import { runBounded } from '#daemon/RunBounded.js';
import type { ObjectStore } from '#store/ObjectStore.js';

/** Value of a catalogue object in the store. */
interface CatalogueRecord {
  readonly author: string;
  /** Wall-clock time of the change, in milliseconds; absent if the catalogue was written to the store directly. */
  readonly timeMs?: number;
  readonly catalogue: Catalogue;
}

interface VersionedRecord extends CatalogueRecord {
  readonly version: number;
}

/** Most objects read for one page, whatever its limit: calls to the store are limited by a budget. */
const MAX_PAGE_OBJECTS = 10;
const MAX_CONCURRENT_READS = 2;
/** Archived versions never change, so their items are cached without expiry. */
const MAX_CACHED_ITEMS = 1_000;

/**
 * Reads and archives versions of the catalogue in the store. The newest version is the object `catalogue`. An earlier
 * version is the object `history/catalogue/{version}`, which is written before the version is replaced, so that a crash
 * between the two writes loses no version.
 */
export class CatalogueHistory {
  private itemCache: ReadonlyMap<number, HistoryItem> = new Map();

  public constructor(
    private readonly store: ObjectStore,
    private readonly serverId: string,
  ) {}

  /** Reads the newest version; undefined if the store has no catalogue. */
  public async readNewest(): Promise<VersionedRecord | undefined> {
    const object = unwrapOrThrow(await this.store.get('catalogue'));
    return object && { ...(object.value as CatalogueRecord), version: object.version };
  }

  /** Archives a version that is about to be replaced, which must not happen if this rejects. */
  public async archive({ version, author, timeMs = 0, catalogue }: VersionedRecord): Promise<void> {
    const value: CatalogueRecord = { author, timeMs, catalogue };
    const marks = [`${this.serverId}/history/${version}`];
    const put = await this.store.put({ name: formatName(version), value, ifVersion: 0, marks });
    // A conflict is a success: another writer has archived the same version, whose content is identical.
    unwrapOrThrow(put);
  }

  /** Reads a version; undefined if it is not in the store. */
  public async read(version: number): Promise<VersionedCatalogue | undefined> {
    const archived = await this.readArchived(version);
    if (archived !== undefined) return toVersioned(archived);
    const newest = await this.readNewest();
    return newest?.version === version ? toVersioned(newest) : undefined;
  }

  /** Lists versions, newest first; a page has at most 10 items. */
  public async list({ after, limit }: PageRequest): Promise<Page<HistoryItem>> {
    const newest = after === '' ? await this.readNewest() : undefined;
    const first = newest?.version ?? Number(after);
    const count = Math.max(0, Math.min(first, limit, MAX_PAGE_OBJECTS));
    const versions = Array.from({ length: count }, (_, index) => first - index);
    const items = await runBounded(versions, MAX_CONCURRENT_READS, (version) =>
      newest?.version === version ? Promise.resolve(toItem(newest)) : this.readItem(version),
    );
    const next = first - count;
    return { items: items.filter((item) => item !== undefined), next: next > 0 ? String(next) : '' };
  }

  private async readItem(version: number): Promise<HistoryItem | undefined> {
    const cached = this.itemCache.get(version);
    if (cached !== undefined) return cached;
    const archived = await this.readArchived(version);
    if (archived === undefined) return undefined;
    const item = toItem(archived);
    this.itemCache = new Map([...[...this.itemCache].slice(1 - MAX_CACHED_ITEMS), [version, item]]);
    return item;
  }

  private async readArchived(version: number): Promise<VersionedRecord | undefined> {
    const object = unwrapOrThrow(await this.store.get(formatName(version)));
    return object && { ...(object.value as CatalogueRecord), version };
  }
}

function formatName(version: number): string {
  return `history/catalogue/${version}`;
}

function toVersioned({ version, author, catalogue }: VersionedRecord): VersionedCatalogue {
  return { version, author, catalogue };
}

function toItem({ version, author, timeMs = 0 }: VersionedRecord): HistoryItem {
  return { version, author, timeMs };
}
