/** Head of a message between daemons. */
export interface RelayHead {
  /** What repeats from message to message, so that header compression sends it once. */
  readonly kind: string;
  /** What differs; it is kept out of the compression table. */
  readonly detail: string;
  /** Revisions of the store up to which the sender knows changes. */
  readonly revisions: readonly number[];
}
