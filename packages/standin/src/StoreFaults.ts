/** Faults of the stand-in object store. */
export interface StoreFaults {
  /** Closes each connection without a reply and without executing the call. */
  readonly down: boolean;
  /** Delay before each call is executed, in milliseconds. */
  readonly delayMs: number;
  /** Number of accepted writes from now on whose reply is not sent. */
  readonly loseReplies: number;
}
