import { DeliveryEvidence } from '#delivery/DeliveryEvidence.js';
import type { DeliveryFacts } from '#delivery/DeliveryFacts.js';
import type { Outcome } from '#delivery/Outcome.js';

/** Evidence `receipt`: the caller has to confirm the byte count of the response before the deadline. */
export class ReceiptEvidence extends DeliveryEvidence {
  public override evaluateSent(): undefined {
    return undefined;
  }

  public override evaluateReceipt(facts: DeliveryFacts, bytes: number, nowMs: number): Outcome {
    if (bytes !== facts.sentBytes) return 'partial';
    return nowMs <= facts.deadlineMs ? 'delivered' : 'late';
  }
}
