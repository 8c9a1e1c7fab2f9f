/** What decides whether a daemon can run a request that it serves itself. */
export interface OwnFacts {
  readonly hasBackend: boolean;
  readonly hasLease: boolean;
}
