import type { CatalogueIndex } from '#catalogue/CatalogueIndex.js';
import type { Entry } from '#catalogue/Entry.js';

/**
 * Returns the entry of an owner, service and class, or `undefined`. Takes constant time, as it runs for each request.
 */
export function findEntry(
  index: CatalogueIndex,
  owner: string,
  service: string,
  className: string,
): Entry | undefined {
  return index.entries.get(owner)?.get(service)?.get(className);
}
