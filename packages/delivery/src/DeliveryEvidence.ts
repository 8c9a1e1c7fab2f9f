import type { DeliveryFacts } from '#delivery/DeliveryFacts.js';
import type { Outcome } from '#delivery/Outcome.js';

/** What proves that a caller received a complete response. Times are monotonic, in milliseconds. */
export abstract class DeliveryEvidence {
  /** Outcome once the last byte was written to the open socket, or undefined if a receipt decides. */
  public abstract judgeSent(facts: DeliveryFacts, nowMs: number): Outcome | undefined;

  /** Outcome of a receipt for `bytes` bytes, or undefined if a receipt proves nothing. */
  public abstract judgeReceipt(facts: DeliveryFacts, bytes: number, nowMs: number): Outcome | undefined;
}
