import type { CataloguePatch } from '#catalogue/CataloguePatch.js';
import type { SharedObject } from '#control/SharedObject.js';

/** Response to a peer that holds an older catalogue: the patches to the newest version, or the whole object. */
export type CatalogueResponse =
  | { readonly patches: readonly CataloguePatch[]; readonly object?: undefined }
  | { readonly object: SharedObject; readonly patches?: undefined };
