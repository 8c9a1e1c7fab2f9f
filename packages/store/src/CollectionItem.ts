/** One object of a collection as read at `revision`. */
export interface CollectionItem {
  readonly name: string;
  /** Revision of the last change of the object; at least 1. */
  readonly revision: number;
  /** Any JSON value. */
  readonly value: unknown;
}
