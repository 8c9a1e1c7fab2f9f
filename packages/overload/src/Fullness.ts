/** A server's statement that it has no room for a request. Times are in milliseconds. */
export interface Fullness {
  /** Time until the server may have room. */
  readonly reopensInMs: number;
  /** Age of the statement. */
  readonly ageMs: number;
}
