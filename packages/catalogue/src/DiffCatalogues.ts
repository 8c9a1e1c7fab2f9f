import type { Catalogue } from '#catalogue/Catalogue.js';
import type { CatalogueChange } from '#catalogue/CatalogueChange.js';
import type { Entry } from '#catalogue/Entry.js';
import type { FieldChange } from '#catalogue/FieldChange.js';
import { formatEntryName } from '#catalogue/FormatEntryName.js';

/** Lists the differences between two catalogues. The order of lists has no meaning and gives no difference. */
export function diffCatalogues(before: Catalogue, after: Catalogue): readonly CatalogueChange[] {
  return [
    ...diffNamed('region', nameRegions(before), nameRegions(after)),
    ...diffNamed('service', nameItems(before.services), nameItems(after.services)),
    ...diffNamed('owner', nameItems(before.owners), nameItems(after.owners)),
    ...diffNamed('entry', nameEntries(before.entries), nameEntries(after.entries)),
  ];
}

type Fields = Readonly<Record<string, string>>;

function nameRegions(catalogue: Catalogue): ReadonlyMap<string, Fields> {
  return new Map(catalogue.regions.map((region) => [region, {}]));
}

function nameItems(items: readonly { readonly name: string }[]): ReadonlyMap<string, Fields> {
  return new Map(items.map((item) => [item.name, flatten(item, '')]));
}

function nameEntries(entries: readonly Entry[]): ReadonlyMap<string, Fields> {
  return new Map(entries.map((entry) => [formatEntryName(entry), flatten(entry, '')]));
}

function flatten(value: object, prefix: string): Fields {
  const pairs = Object.entries(value).flatMap(([key, field]: [string, unknown]) => {
    const name = `${prefix}${key}`;
    if (Array.isArray(field)) return [[name, JSON.stringify([...(field as readonly string[])].sort())]];
    if (typeof field === 'object' && field !== null) return Object.entries(flatten(field, `${name}.`));
    return [[name, JSON.stringify(field)]];
  });
  return Object.fromEntries(pairs) as Fields;
}

function diffNamed(
  part: CatalogueChange['part'],
  before: ReadonlyMap<string, Fields>,
  after: ReadonlyMap<string, Fields>,
): readonly CatalogueChange[] {
  const names = [...new Set([...before.keys(), ...after.keys()])];
  return names.flatMap((name): readonly CatalogueChange[] => {
    const oldFields = before.get(name);
    const newFields = after.get(name);
    const owner = part === 'entry' ? (name.split('/')[0] ?? '') : '';
    if (oldFields === undefined) return [{ part, kind: 'added', name, owner, fields: [] }];
    if (newFields === undefined) return [{ part, kind: 'removed', name, owner, fields: [] }];
    const fields = diffFields(oldFields, newFields);
    return fields.length === 0 ? [] : [{ part, kind: 'changed', name, owner, fields }];
  });
}

function diffFields(before: Fields, after: Fields): readonly FieldChange[] {
  return [...new Set([...Object.keys(before), ...Object.keys(after)])]
    .map((field) => ({ field, before: before[field] ?? '', after: after[field] ?? '' }))
    .filter((change) => change.before !== change.after);
}
