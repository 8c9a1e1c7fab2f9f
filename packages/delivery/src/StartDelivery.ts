import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import { deliveryChart } from '#delivery/DeliveryChart.js';
import type { DeliveryContext } from '#delivery/DeliveryContext.js';
import type { DeliveryEvidence } from '#delivery/DeliveryEvidence.js';

/** Returns the initial state of a response that was not yet requested; `deadlineMs` is on the monotonic clock. */
export function startDelivery(
  evidence: DeliveryEvidence,
  deadlineMs: number,
  repeatable: boolean,
): ChartSnapshot<DeliveryContext> {
  const context = { evidence, deadlineMs, repeatable, requestSent: false, sentBytes: 0 };
  return { value: deliveryChart.initial, context };
}
