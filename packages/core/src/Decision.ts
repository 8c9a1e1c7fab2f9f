/** Result of a pure state transition: the next state and the commands for the calling task to execute. */
export interface Decision<S, C> {
  readonly state: S;
  readonly commands: readonly C[];
}
