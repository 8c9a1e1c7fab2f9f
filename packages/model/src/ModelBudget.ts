/** How often each kind of fault and change may still occur. Pauses and lost messages are unlimited. */
export interface ModelBudget {
  readonly takeovers: number;
  readonly registrations: number;
  readonly moves: number;
  readonly witnessRestarts: number;
  readonly daemonRestarts: number;
  readonly delays: number;
  /** Attempts to run the one non-repeatable request. */
  readonly attempts: number;
}
