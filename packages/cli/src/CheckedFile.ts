import type { DocumentFault } from '#catalogue/DocumentFault.js';
import type { RouteDifference } from '#routes/RouteDifference.js';

/** Result of the check of one file. */
export interface CheckedFile {
  readonly file: string;
  readonly kind: string;
  readonly faults: readonly DocumentFault[];
  /** What may be intended, but should be looked at. */
  readonly warnings: readonly DocumentFault[];
  /** What differs from the version in force; undefined if none was given. */
  readonly differences: readonly RouteDifference[] | undefined;
}
