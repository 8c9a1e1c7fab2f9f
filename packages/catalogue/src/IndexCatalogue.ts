import type { CatalogueIndex } from '#catalogue/CatalogueIndex.js';
import type { Entry } from '#catalogue/Entry.js';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';

/** Creates the lookup tables of a catalogue; called once for each version that is applied. */
export function indexCatalogue({ version, catalogue }: VersionedCatalogue): CatalogueIndex {
  const entries = new Map<string, Map<string, Map<string, Entry>>>();
  for (const entry of catalogue.entries) addEntry(entries, entry);
  return Object.freeze({
    version,
    entries,
    services: new Map(catalogue.services.map((service) => [service.name, service])),
    owners: new Map(catalogue.owners.map((owner) => [owner.name, owner])),
  });
}

function addEntry(entries: Map<string, Map<string, Map<string, Entry>>>, entry: Entry): void {
  const services = entries.get(entry.owner) ?? new Map<string, Map<string, Entry>>();
  const classes = services.get(entry.service) ?? new Map<string, Entry>();
  classes.set(entry.class, entry);
  services.set(entry.service, classes);
  entries.set(entry.owner, services);
}
