/** Votes that a witness collects before it reports a silent holder. */
export interface SuspicionContext {
  /** Further witnesses that must agree. */
  readonly needed: number;
  /** Further witnesses that have not answered yet. */
  readonly open: number;
}
