import type { HistoryItem } from '#admin/HistoryItem.js';
import type { Page } from '#admin/Page.js';
import type { PageRequest } from '#admin/PageRequest.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';
import { unwrapOrThrow } from '#daemon/UnwrapOrThrow.js';
import { runBounded } from '#daemon/RunBounded.js';
import type { ObjectStore } from '#store/ObjectStore.js';

interface KeptCatalogue {
  readonly author: string;
  /** 0 for a catalogue that was put into the store without one. */
  readonly timeMs?: number;
  readonly catalogue: Catalogue;
}

interface StoredCatalogue extends KeptCatalogue {
  readonly version: number;
}

/** Objects read for one page, whatever its limit, as the store's calls are counted. */
const PAGE_OBJECTS = 10;
const WIDTH = 2;
/** Items of versions that were listed before; versions never change. */
const ITEMS_KEPT = 1_000;

/**
 * Versions of the catalogue in the store. The newest one is the object `catalogue`; each earlier one is the object
 * `history/catalogue/{version}`, written before the change that replaces it, so that no crash loses a version.
 */
export class CatalogueHistory {
  private items: ReadonlyMap<number, HistoryItem> = new Map();

  public constructor(
    private readonly store: ObjectStore,
    private readonly serverId: string,
  ) {}

  /** Reads the newest version; undefined if there is none. */
  public async readNewest(): Promise<StoredCatalogue | undefined> {
    const object = unwrapOrThrow(await this.store.get('catalogue'));
    return object && { ...(object.value as KeptCatalogue), version: object.version };
  }

  /** Keeps a version that is about to be replaced. Fails if the store does not accept it and has not kept it before. */
  public async keep({ version, author, timeMs = 0, catalogue }: StoredCatalogue): Promise<void> {
    const value: KeptCatalogue = { author, timeMs, catalogue };
    const marks = [`${this.serverId}/history/${version}`];
    const put = await this.store.put({ name: nameOf(version), value, ifVersion: 0, marks });
    // A conflict means that another writer has kept the same version, whose content is the same.
    unwrapOrThrow(put);
  }

  /** Reads a version; undefined if it is not kept. */
  public async read(version: number): Promise<VersionedCatalogue | undefined> {
    const kept = await this.readKept(version);
    if (kept !== undefined) return toVersioned(kept);
    const newest = await this.readNewest();
    return newest?.version === version ? toVersioned(newest) : undefined;
  }

  /** Lists versions, newest first; a page has at most 10. */
  public async list({ after, limit }: PageRequest): Promise<Page<HistoryItem>> {
    const newest = after === '' ? await this.readNewest() : undefined;
    const first = newest?.version ?? Number(after);
    const count = Math.max(0, Math.min(first, limit, PAGE_OBJECTS));
    const versions = Array.from({ length: count }, (_, index) => first - index);
    const items = await runBounded(versions, WIDTH, (version) =>
      newest?.version === version ? Promise.resolve(toItem(newest)) : this.readItem(version),
    );
    const next = first - count;
    return { items: items.filter((item) => item !== undefined), next: next > 0 ? String(next) : '' };
  }

  private async readItem(version: number): Promise<HistoryItem | undefined> {
    const known = this.items.get(version);
    if (known !== undefined) return known;
    const kept = await this.readKept(version);
    if (kept === undefined) return undefined;
    const item = toItem(kept);
    this.items = new Map([...[...this.items].slice(1 - ITEMS_KEPT), [version, item]]);
    return item;
  }

  private async readKept(version: number): Promise<StoredCatalogue | undefined> {
    const object = unwrapOrThrow(await this.store.get(nameOf(version)));
    return object && { ...(object.value as KeptCatalogue), version };
  }
}

function nameOf(version: number): string {
  return `history/catalogue/${version}`;
}

function toVersioned({ version, author, catalogue }: StoredCatalogue): VersionedCatalogue {
  return { version, author, catalogue };
}

function toItem({ version, author, timeMs = 0 }: StoredCatalogue): HistoryItem {
  return { version, author, timeMs };
}
