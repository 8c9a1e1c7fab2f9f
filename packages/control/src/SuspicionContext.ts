/** Data of one suspicion. */
export interface SuspicionContext {
  /** Other witnesses that have to agree. */
  readonly needed: number;
  /** Other witnesses that may still answer. */
  readonly open: number;
}
