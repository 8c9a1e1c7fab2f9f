/** How a kind of part is brought into its normal form, described in a key, and moved into the past. */
export interface PartRules<T, D extends { readonly key: string }> {
  readonly normalize: (part: T) => T;
  readonly describe: (part: T) => D;
  readonly shift: (part: T) => T;
}
