import { Left, Right, type Either } from 'purify-ts';
import { RouterError } from '#core/RouterError.js';
import type { CataloguePatch } from '#catalogue/CataloguePatch.js';
import { formatEntryName } from '#catalogue/FormatEntryName.js';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';

/**
 * Applies a patch to the version that it is based on, and refuses to apply it to any other version. The items may be in
 * a different order than in the newer version; their order has no meaning.
 */
export function applyPatch(
  before: VersionedCatalogue,
  patch: CataloguePatch,
): Either<RouterError, VersionedCatalogue> {
  if (before.version !== patch.fromVersion) return Left(refuse(before, patch));
  const { regions, services, owners, entries } = before.catalogue;
  const catalogue = {
    regions: patch.regions ?? regions,
    services: merge(services, patch.put.services, patch.remove.services, ({ name }) => name),
    owners: merge(owners, patch.put.owners, patch.remove.owners, ({ name }) => name),
    entries: merge(entries, patch.put.entries, patch.remove.entries, formatEntryName),
  };
  return Right({ version: patch.toVersion, author: patch.author, catalogue });
}

function merge<T>(
  before: readonly T[],
  put: readonly T[],
  remove: readonly string[],
  nameOf: (item: T) => string,
): readonly T[] {
  const items = new Map(before.map((item) => [nameOf(item), item]));
  for (const item of put) items.set(nameOf(item), item);
  for (const name of remove) items.delete(name);
  return [...items.values()];
}

function refuse(before: VersionedCatalogue, patch: CataloguePatch): RouterError {
  const message = `a patch of version ${patch.fromVersion} does not apply to version ${before.version}`;
  return new RouterError(
    { code: 'patchBase', step: 'catalogue', peer: '', ran: 'not run', status: 409 },
    message,
  );
}
