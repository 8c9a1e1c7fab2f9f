/** Links that a failure test cuts, by server id; each direction is separate. */
export interface LinkCuts {
  /** Peers to which nothing is sent. */
  readonly to: ReadonlySet<string>;
  /** Peers from which nothing is accepted. */
  readonly from: ReadonlySet<string>;
}
