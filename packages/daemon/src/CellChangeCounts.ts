/** Number of ownership changes between two versions of a cell that concern one member. */
export interface CellChangeCounts {
  /** Shards that the member took over from lost members. */
  readonly takeovers: number;
  /** Shards that the member handed to other members in planned moves, hot keys included. */
  readonly plannedMoves: number;
  /** Hot keys among `plannedMoves`. */
  readonly hotKeyMoves: number;
}
