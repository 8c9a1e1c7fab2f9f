/** One page of a list. */
export interface Page<T> {
  readonly items: readonly T[];
  /** Value of `after` for the next page; empty after the last one. */
  readonly next: string;
}
