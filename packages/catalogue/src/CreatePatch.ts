import type { CataloguePatch } from '#catalogue/CataloguePatch.js';
import { formatEntryName } from '#catalogue/FormatEntryName.js';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';

/** Creates the patch that turns one version of the catalogue into a newer one. */
export function createPatch(before: VersionedCatalogue, after: VersionedCatalogue): CataloguePatch {
  const { catalogue: old } = before;
  const { catalogue: next } = after;
  const services = compare(old.services, next.services, ({ name }) => name);
  const owners = compare(old.owners, next.owners, ({ name }) => name);
  const entries = compare(old.entries, next.entries, formatEntryName);
  return {
    fromVersion: before.version,
    toVersion: after.version,
    author: after.author,
    ...(areEqual(old.regions, next.regions) ? {} : { regions: next.regions }),
    put: { services: services.put, owners: owners.put, entries: entries.put },
    remove: { services: services.remove, owners: owners.remove, entries: entries.remove },
  };
}

interface Comparison<T> {
  readonly put: readonly T[];
  readonly remove: readonly string[];
}

function compare<T>(before: readonly T[], after: readonly T[], nameOf: (item: T) => string): Comparison<T> {
  const oldItems = new Map(before.map((item) => [nameOf(item), item]));
  const newNames = new Set(after.map(nameOf));
  return {
    put: after.filter((item) => !areEqual(oldItems.get(nameOf(item)), item)),
    remove: [...oldItems.keys()].filter((name) => !newNames.has(name)),
  };
}

function areEqual(left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}
