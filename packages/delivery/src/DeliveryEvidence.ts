import type { DeliveryFacts } from '#delivery/DeliveryFacts.js';
import type { Outcome } from '#delivery/Outcome.js';

/** Determines what counts as proof that a caller received a complete response. Times are monotonic, in milliseconds. */
export abstract class DeliveryEvidence {
  /** Returns the outcome when the last byte was written to the open socket, or undefined if a receipt is required. */
  public abstract evaluateSent(facts: DeliveryFacts, nowMs: number): Outcome | undefined;

  /** Returns the outcome after a receipt for `bytes` bytes, or undefined if receipts are not evidence. */
  public abstract evaluateReceipt(facts: DeliveryFacts, bytes: number, nowMs: number): Outcome | undefined;
}
