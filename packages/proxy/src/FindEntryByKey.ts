import type { CatalogueIndex } from '#catalogue/CatalogueIndex.js';
import type { Entry } from '#catalogue/Entry.js';
import { findEntry } from '#catalogue/FindEntry.js';

/** Returns the catalogue entry for a key created by `entryKey`. */
export function findEntryByKey(index: CatalogueIndex | undefined, key: string): Entry | undefined {
  const [owner = '', service = '', requestClass = ''] = key.split('\n');
  return index === undefined ? undefined : findEntry(index, owner, service, requestClass);
}
