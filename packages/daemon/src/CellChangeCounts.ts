/** Changes of ownership between two versions of a cell, as one member counts them. */
export interface CellChangeCounts {
  /** Shards that this member received from lost members. */
  readonly takeovers: number;
  /** Shards that this member gave away, hot keys included. */
  readonly plannedMoves: number;
  readonly hotKeyMoves: number;
}
