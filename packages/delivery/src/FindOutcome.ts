import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import { deliveryChart } from '#delivery/DeliveryChart.js';
import type { DeliveryContext } from '#delivery/DeliveryContext.js';
import type { Outcome } from '#delivery/Outcome.js';

/** Returns the outcome of a response that ended, or undefined while it is in flight. */
export function findOutcome(snapshot: ChartSnapshot<DeliveryContext>): Outcome | undefined {
  return deliveryChart.finalStates.has(snapshot.value) ? (snapshot.value as Outcome) : undefined;
}
