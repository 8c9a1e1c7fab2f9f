/** Faults that the stand-in store simulates. */
export interface StoreFaults {
  /** Closes each connection without a reply; nothing is read or changed. */
  readonly down: boolean;
  /** Time before each call is handled, in milliseconds. */
  readonly delayMs: number;
  /** Number of next accepted changes whose reply is not sent. */
  readonly loseReplies: number;
}
