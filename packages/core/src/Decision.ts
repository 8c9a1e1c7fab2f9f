/** Result of a pure decision: the next state and the commands that the calling task has to carry out. */
export interface Decision<S, C> {
  readonly state: S;
  readonly commands: readonly C[];
}
