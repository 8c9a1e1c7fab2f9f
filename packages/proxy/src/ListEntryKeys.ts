import { entryKey } from '#admission/EntryKey.js';
import type { Catalogue } from '#catalogue/Catalogue.js';

/** Keys of all entries of a catalogue. */
export function listEntryKeys({ entries }: Catalogue): ReadonlySet<string> {
  return new Set(entries.map((entry) => entryKey(entry.owner, entry.service, entry.class)));
}
