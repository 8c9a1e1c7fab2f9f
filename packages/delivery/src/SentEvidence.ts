import { DeliveryEvidence } from '#delivery/DeliveryEvidence.js';
import type { DeliveryFacts } from '#delivery/DeliveryFacts.js';
import type { Outcome } from '#delivery/Outcome.js';

/** Evidence `sent`: a complete write to the open socket before the deadline counts as delivered. */
export class SentEvidence extends DeliveryEvidence {
  public override evaluateSent(facts: DeliveryFacts, nowMs: number): Outcome {
    return nowMs <= facts.deadlineMs ? 'delivered' : 'late';
  }

  public override evaluateReceipt(): undefined {
    return undefined;
  }
}
