/** Newest versions that a daemon holds. Field names are short because each renewal carries a digest. */
export interface Digest {
  /** Version of the catalogue; 0 without one. */
  readonly c: number;
  /** Version of the operator intent; 0 without one. */
  readonly i: number;
  /** Cell of the daemon's own service, `{service}/{n}`; empty without one. */
  readonly n: string;
  /** Version of that cell. */
  readonly v: number;
}
