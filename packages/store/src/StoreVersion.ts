/** Number of revisions of one era. Era and revision together fit a safe integer for eras below 8,192. */
const REVISIONS = 2 ** 40;

/**
 * Version of an object or listing: the era of the store in the high part and the revision in the low part, so that
 * versions increase across a restore, and versions of two eras are never equal. In era 0 a version equals its revision.
 */
export const StoreVersion = Object.freeze({
  combine(era: number, revision: number): number {
    return era * REVISIONS + revision;
  },
  /** Returns the era in which a version was read. */
  eraOf(version: number): number {
    return Math.floor(version / REVISIONS);
  },
  revisionOf(version: number): number {
    return version % REVISIONS;
  },
});
