/** Result of a simulation of a service with keys. */
export interface KeyedOutcome {
  /** Mean over time of the busiest owner's demand relative to its speed, divided by the mean of all owners. */
  readonly busiest: number;
  /** Fraction of the requests that arrived while the wait at their owner was long. */
  readonly late: number;
  /** Fraction of the requests that arrived while their key was on the move. */
  readonly moving: number;
  /** Moves, and the keys of all of them, relative to all keys. */
  readonly moves: number;
  readonly movedKeys: number;
  /** Rounds of moves, each of which writes the table once. */
  readonly rounds: number;
  /** Surveys of the owners' load, each of which is a call to every owner. */
  readonly surveys: number;
  readonly rows: number;
  /** Largest number of requests for each slot that one owner received by a single round of moves, as a load. */
  readonly received: number;
}
