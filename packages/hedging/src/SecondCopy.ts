/** The second copy of a request that was hedged, as it stands when the request ends. */
export interface SecondCopy<S, T> {
  readonly server: S;
  /** Undefined if the copy was cancelled. */
  readonly result: T | undefined;
  /** Result of the first copy; undefined if that one was cancelled. */
  readonly firstResult: T | undefined;
}
