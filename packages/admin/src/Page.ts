/** One page of a list. */
export interface Page<T> {
  readonly items: readonly T[];
  /** Value of `after` that requests the next page; empty on the last page. */
  readonly next: string;
}
