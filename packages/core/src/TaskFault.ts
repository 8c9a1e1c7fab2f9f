/** Failure of a task to handle a message, because the handler threw. */
export interface TaskFault {
  /** Name of the task's class. */
  readonly task: string;
  /** Type of the message; empty if it has none. */
  readonly messageType: string;
  readonly err: unknown;
}
