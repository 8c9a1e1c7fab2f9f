/** Metadata of a message between daemons. */
export interface RelayHead {
  /** Fields that are equal in many messages, so that header compression transfers them only once. */
  readonly kind: string;
  /** Fields that differ between messages; they are kept out of the header compression table. */
  readonly detail: string;
  /** Store revision up to which the sender has seen the changes of each watched collection. */
  readonly revisions: readonly number[];
}
