/** One object of the store as read at `version`. */
export interface StoreObject {
  readonly name: string;
  /** Starts at 1 and rises by 1 with each accepted change. */
  readonly version: number;
  /** Marks of the latest writers, newest first; at most `MARKS_KEPT` of them. */
  readonly marks: readonly string[];
  /** Any JSON value. */
  readonly value: unknown;
}
