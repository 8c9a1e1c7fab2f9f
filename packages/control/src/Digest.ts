/** Newest versions that a daemon holds. Field names are short because each renewal carries a digest. */
export interface Digest {
  /** Version of the catalogue; 0 without one. */
  readonly c: number;
  /** Version of the operator intent; 0 without one. */
  readonly i: number;
  /** Name of the daemon's cell object, `cells/{service}/{n}`; empty without one. */
  readonly n: string;
  /** Version of that cell. */
  readonly v: number;
}
