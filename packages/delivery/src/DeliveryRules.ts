import type { ChartRules } from '#chart/ChartRules.js';
import type { DeliveryContext } from '#delivery/DeliveryContext.js';
import type { DeliveryEvent } from '#delivery/DeliveryEvent.js';
import type { Outcome } from '#delivery/Outcome.js';

/** Guards and actions of the chart `delivery.json`. */
export const deliveryRules: ChartRules<DeliveryContext, DeliveryEvent, never> = {
  guards: {
    mayHaveRun: ({ requestSent, repeatable }) => requestSent && !repeatable,
    isDelivered: (context, event) => evaluateEvidence(context, event) === 'delivered',
    isLate: (context, event) => evaluateEvidence(context, event) === 'late',
    isPartial: (context, event) => evaluateEvidence(context, event) === 'partial',
  },
  actions: {
    noteRouted: (context) => ({ context: { ...context, requestSent: true }, commands: [] }),
    countBytes: (context, event) => ({ context: addBytes(context, event), commands: [] }),
  },
};

function evaluateEvidence(context: DeliveryContext, event: DeliveryEvent): Outcome | undefined {
  if (event.type === 'flushed') return context.evidence.evaluateSent(context, event.nowMs);
  if (event.type === 'receipt') return context.evidence.evaluateReceipt(context, event.bytes, event.nowMs);
  return undefined;
}

function addBytes(context: DeliveryContext, event: DeliveryEvent): DeliveryContext {
  return event.type === 'chunk' ? { ...context, sentBytes: context.sentBytes + event.bytes } : context;
}
