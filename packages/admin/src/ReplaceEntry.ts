import type { Catalogue } from '#catalogue/Catalogue.js';
import { formatEntryName } from '#catalogue/FormatEntryName.js';

/** Returns a catalogue with one entry replaced, added at the end, or removed if `entry` is `undefined`. */
export function replaceEntry(catalogue: Catalogue, name: string, entry: object | undefined): object {
  const entryIndex = catalogue.entries.findIndex((each) => formatEntryName(each) === name);
  if (entry === undefined)
    return { ...catalogue, entries: catalogue.entries.filter((_, index) => index !== entryIndex) };
  if (entryIndex < 0) return { ...catalogue, entries: [...catalogue.entries, entry] };
  return {
    ...catalogue,
    entries: catalogue.entries.map((each, index) => (index === entryIndex ? entry : each)),
  };
}
