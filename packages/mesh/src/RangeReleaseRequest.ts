/** Asks a daemon to release some of its keys to another daemon. */
export interface RangeReleaseRequest {
  /** Server id of the receiver. */
  readonly to: string;
  /** Amount of work to move, in milliseconds per second. */
  readonly workMsPerSecond: number;
  /** Fraction of the keys to move if no work was measured on them. */
  readonly share: number;
  /** Speed of the receiver's VM relative to that of the owner; 1 if it is unknown. */
  readonly speedup: number;
}
