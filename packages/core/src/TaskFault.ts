/** A message that a task could not handle, as its handling threw. */
export interface TaskFault {
  /** Name of the task's class. */
  readonly task: string;
  /** Type of the message; empty if it has none. */
  readonly message: string;
  readonly err: unknown;
}
