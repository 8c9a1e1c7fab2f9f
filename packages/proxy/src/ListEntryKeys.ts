import { entryKey } from '#admission/EntryKey.js';
import type { Catalogue } from '#catalogue/Catalogue.js';

/** Returns the keys of all entries of a catalogue, as created by `entryKey`. */
export function listEntryKeys({ entries }: Catalogue): ReadonlySet<string> {
  return new Set(entries.map((entry) => entryKey(entry.owner, entry.service, entry.class)));
}
