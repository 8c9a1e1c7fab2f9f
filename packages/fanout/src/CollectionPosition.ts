/** Revision up to which a daemon knows the changes of a collection. */
export interface CollectionPosition {
  readonly collection: string;
  readonly revision: number;
}
