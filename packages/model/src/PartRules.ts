/** Rules that normalize, describe and age one kind of part of a state. */
export interface PartRules<T, D extends { readonly key: string }> {
  readonly normalize: (part: T) => T;
  readonly describe: (part: T) => D;
  readonly shift: (part: T) => T;
}
