/** Whether a daemon can serve a request at its own backend server, and as the owner of a key. */
export interface OwnFacts {
  readonly hasBackend: boolean;
  readonly hasLease: boolean;
}
