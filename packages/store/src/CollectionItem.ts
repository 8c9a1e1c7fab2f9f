/** One object of a collection as read at `revision`. */
export interface CollectionItem {
  readonly name: string;
  /** Revision of its last change; above 0. */
  readonly revision: number;
  /** Any JSON value. */
  readonly value: unknown;
}
