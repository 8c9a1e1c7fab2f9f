/** States and depth that an exploration reached, and the violation that it found. */
export interface Exploration {
  readonly states: number;
  /** Largest number of steps from the initial state to a state that was reached. */
  readonly depth: number;
  readonly elapsedMs: number;
  /** Whether the search ended because it reached its limit of states. */
  readonly hasReachedLimit: boolean;
  /** The violated invariant with a shortest trace to the violation. */
  readonly violation: { readonly text: string; readonly trace: readonly string[] } | undefined;
}
