import type { Catalogue } from '#catalogue/Catalogue.js';
import { checkEntry } from '#catalogue/CheckEntry.js';
import type { DocumentPath } from '#catalogue/DocumentPath.js';
import type { Entry } from '#catalogue/Entry.js';
import { formatEntryName } from '#catalogue/FormatEntryName.js';
import type { SemanticFault } from '#catalogue/SemanticFault.js';

// About 4 Gbit/s for each pair of regions and direction; see docs/design.md, section 1.
const LINK_BYTES_PER_SECOND = 500_000_000;

/** Returns the semantic errors of a catalogue that satisfies the schema. */
export function checkCatalogue(catalogue: Catalogue): readonly SemanticFault[] {
  return [
    ...findDuplicateNames(catalogue.services, 'services', (service) => service.name),
    ...findDuplicateNames(catalogue.owners, 'owners', (owner) => owner.name),
    ...findDuplicateNames(catalogue.entries, 'entries', formatEntryName),
    ...checkTokens(catalogue),
    ...catalogue.entries.flatMap((entry, index) => checkReferences(catalogue, entry, ['entries', index])),
    ...catalogue.entries.flatMap((entry, index) => checkEntry(entry, ['entries', index])),
    ...checkPlacements(catalogue),
    ...checkLinks(catalogue),
  ];
}

function findDuplicateNames<T>(
  items: readonly T[],
  property: string,
  nameOf: (item: T) => string,
): readonly SemanticFault[] {
  const seen = new Set<string>();
  return items.flatMap((item, index) => {
    const name = nameOf(item);
    if (seen.has(name)) return [{ path: [property, index], message: `"${name}" is defined twice` }];
    seen.add(name);
    return [];
  });
}

// A token identifies the author of a change, so it must belong to a single owner. Without an operator that has a token,
// services, owners and regions could never be changed again.
function checkTokens({ owners }: Catalogue): readonly SemanticFault[] {
  const ownerByHash = new Map<string, string>();
  const repeats = owners.flatMap((owner, index) =>
    owner.tokenHashes.flatMap((hash, position): readonly SemanticFault[] => {
      const other = ownerByHash.get(hash);
      ownerByHash.set(hash, owner.name);
      if (other === undefined) return [];
      const path = ['owners', index, 'tokenHashes', position];
      return [{ path, message: `the same token already identifies "${other}"` }];
    }),
  );
  if (owners.some((owner) => owner.operator && owner.tokenHashes.length > 0)) return repeats;
  return [...repeats, { path: ['owners'], message: 'no owner with "operator": true has a token' }];
}

function checkReferences(catalogue: Catalogue, entry: Entry, path: DocumentPath): readonly SemanticFault[] {
  const faults: readonly (SemanticFault | undefined)[] = [
    catalogue.owners.some(({ name }) => name === entry.owner)
      ? undefined
      : { path: [...path, 'owner'], message: `owner "${entry.owner}" is not defined` },
    catalogue.services.some(({ name }) => name === entry.service)
      ? undefined
      : { path: [...path, 'service'], message: `service "${entry.service}" is not defined` },
    ...entry.homeRegions.map((region, index) =>
      catalogue.regions.includes(region)
        ? undefined
        : { path: [...path, 'homeRegions', index], message: `region "${region}" is not defined` },
    ),
  ];
  return faults.filter((fault) => fault !== undefined);
}

// Each placement (set of home regions) has its own shard table. If the entries of one owner for a keyed service had
// different placements, the same key would have an owning server in each of them.
function checkPlacements({ services, entries }: Catalogue): readonly SemanticFault[] {
  const keyed = new Set(services.filter((service) => service.keyed).map((service) => service.name));
  const firstByPair = new Map<string, Entry>();
  return entries.flatMap((entry, index): readonly SemanticFault[] => {
    if (!keyed.has(entry.service)) return [];
    const pair = `${entry.owner}/${entry.service}`;
    const first = firstByPair.get(pair);
    if (first === undefined) firstByPair.set(pair, entry);
    if (first === undefined || formatPlacement(first) === formatPlacement(entry)) return [];
    const message =
      `differs from the home regions of "${formatEntryName(first)}"; ` +
      'a key of a keyed service would have two owning servers';
    return [{ path: ['entries', index, 'homeRegions'], message }];
  });
}

function formatPlacement(entry: Entry): string {
  return [...entry.homeRegions].sort().join('+');
}

function checkLinks({ regions, entries }: Catalogue): readonly SemanticFault[] {
  const directions = regions.length * (regions.length - 1);
  const available = directions * LINK_BYTES_PER_SECOND;
  const total = entries.reduce((sum, { limits }) => sum + limits.interRegionBytesPerSecond, 0);
  if (total <= available) return [];
  const message = `the entries together allow ${total} B/s between regions; the links carry ${available} B/s`;
  return [{ path: ['entries'], message }];
}
