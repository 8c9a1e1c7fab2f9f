/** One object of the store as read at `version`. */
export interface StoreObject {
  readonly name: string;
  /** Starts at 1 and increases by 1 with each accepted write. */
  readonly version: number;
  /** Marks of the latest writes, newest first; at most `maxWriteMarks`. */
  readonly marks: readonly string[];
  /** Any JSON value. */
  readonly value: unknown;
}
