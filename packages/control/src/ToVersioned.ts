import type { Catalogue } from '#catalogue/Catalogue.js';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';
import type { SharedObject } from '#control/SharedObject.js';

/** Converts the shared object `catalogue` into a catalogue with its version and author. */
export function toVersioned({ version, value }: SharedObject): VersionedCatalogue {
  const { author, catalogue } = value as { readonly author: string; readonly catalogue: Catalogue };
  return { version, author, catalogue };
}
