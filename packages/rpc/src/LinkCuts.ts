/** Links that a failure test cuts, as server ids of the peers; each direction is cut separately. */
export interface LinkCuts {
  /** Peers to which nothing is sent. */
  readonly to: ReadonlySet<string>;
  /** Peers from which nothing is accepted. */
  readonly from: ReadonlySet<string>;
}
