/** Result of an exploration. */
export interface Exploration {
  readonly states: number;
  /** Number of steps to the states that are farthest from the initial state. */
  readonly depth: number;
  readonly elapsedMs: number;
  /** Whether the search ended because it reached the limit of states. */
  readonly isCut: boolean;
  /** A violated invariant with a shortest trace to it. */
  readonly violation: { readonly text: string; readonly trace: readonly string[] } | undefined;
}
