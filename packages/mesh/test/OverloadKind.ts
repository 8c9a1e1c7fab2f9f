/** Kind of request of a simulated overload. Durations are in milliseconds. */
export interface OverloadKind {
  readonly name: string;
  readonly service: string;
  readonly priority: number;
  readonly worth: number;
  /** Fraction of the outside requests of its service. */
  readonly fraction: number;
  /** Service time at a server of speed 1, without calls. */
  readonly workMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  /** Number of calls to the service `calls` that it makes, one after the other. */
  readonly calls: number;
}
