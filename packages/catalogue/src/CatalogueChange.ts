import type { FieldChange } from '#catalogue/FieldChange.js';

/** One difference between two catalogues. */
export interface CatalogueChange {
  readonly part: 'region' | 'service' | 'owner' | 'entry';
  readonly kind: 'added' | 'removed' | 'changed';
  /** Name of the region, service or owner; `owner/service/class` for an entry. */
  readonly name: string;
  /** Owner of the entry; empty if `part` is not `entry`. */
  readonly owner: string;
  /** Changed fields; empty unless `kind` is `changed`. */
  readonly fields: readonly FieldChange[];
}
