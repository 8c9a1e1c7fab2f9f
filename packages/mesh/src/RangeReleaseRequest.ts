/** Asks the daemon that grants keys to give some of them to another daemon. */
export interface RangeReleaseRequest {
  /** Server id of the receiver. */
  readonly to: string;
  /** Work that should move, in milliseconds a second. */
  readonly workMsPerSecond: number;
  /** Part of the keys to move if no work was measured on them. */
  readonly share: number;
  /** Factor by which work takes less time on the receiver's VM; 1 if that is not known. */
  readonly speedup: number;
}
