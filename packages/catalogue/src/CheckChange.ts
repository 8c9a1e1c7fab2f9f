import type { Catalogue } from '#catalogue/Catalogue.js';
import type { CatalogueChange } from '#catalogue/CatalogueChange.js';
import type { ChangeFault } from '#catalogue/ChangeFault.js';
import { diffCatalogues } from '#catalogue/DiffCatalogues.js';
import type { Entry } from '#catalogue/Entry.js';
import { formatEntryName } from '#catalogue/FormatEntryName.js';
import { listLoosenedFields } from '#catalogue/ListLoosenedFields.js';

/**
 * Returns the changes that `author` is not allowed to make. An owner may change only its own entries. An operator may
 * also change services, owners and regions, and may add, remove or tighten the entries of other owners, but may not
 * loosen them. The permissions are those in `before`, so that an owner cannot make itself an operator.
 */
export function checkChange(before: Catalogue, after: Catalogue, author: string): readonly ChangeFault[] {
  const owner = before.owners.find(({ name }) => name === author);
  if (owner === undefined) return [{ part: `owner ${author}`, message: 'the author is not an owner' }];
  const oldEntries = indexEntries(before);
  const newEntries = indexEntries(after);
  return diffCatalogues(before, after).flatMap((change) => {
    if (change.part === 'entry' && change.owner === author) return [];
    if (!owner.operator) return [refuse(change, describeRight(change))];
    return checkLoosened(oldEntries.get(change.name), newEntries.get(change.name), change);
  });
}

function describeRight(change: CatalogueChange): string {
  return change.part === 'entry'
    ? `belongs to "${change.owner}"; an owner may change only its own entries`
    : 'only an operator may change services, owners and regions';
}

function checkLoosened(
  before: Entry | undefined,
  after: Entry | undefined,
  change: CatalogueChange,
): readonly ChangeFault[] {
  if (change.part !== 'entry' || before === undefined || after === undefined) return [];
  const loosened = listLoosenedFields(before, after);
  if (loosened.length === 0) return [];
  const message = `only "${change.owner}" may loosen its own limits: ${loosened.join(', ')}`;
  return [refuse(change, message)];
}

function indexEntries({ entries }: Catalogue): ReadonlyMap<string, Entry> {
  return new Map(entries.map((entry) => [formatEntryName(entry), entry]));
}

function refuse(change: CatalogueChange, message: string): ChangeFault {
  return { part: `${change.part} ${change.name}`, message };
}
