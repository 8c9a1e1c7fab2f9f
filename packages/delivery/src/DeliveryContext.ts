import type { DeliveryEvidence } from '#delivery/DeliveryEvidence.js';
import type { DeliveryFacts } from '#delivery/DeliveryFacts.js';

/** Context of the chart `delivery.json`. */
export interface DeliveryContext extends DeliveryFacts {
  readonly evidence: DeliveryEvidence;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Whether a byte of the request may have reached the backend server. */
  readonly requestSent: boolean;
}
