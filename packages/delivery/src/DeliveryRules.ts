import type { ChartRules } from '#chart/ChartRules.js';
import type { DeliveryContext } from '#delivery/DeliveryContext.js';
import type { DeliveryEvent } from '#delivery/DeliveryEvent.js';
import type { Outcome } from '#delivery/Outcome.js';

/** Guards and actions of the chart `delivery.json`. */
export const deliveryRules: ChartRules<DeliveryContext, DeliveryEvent, never> = {
  guards: {
    mayHaveRun: ({ requestSent, repeatable }) => requestSent && !repeatable,
    isDelivered: (context, event) => judge(context, event) === 'delivered',
    isLate: (context, event) => judge(context, event) === 'late',
    isPartial: (context, event) => judge(context, event) === 'partial',
  },
  actions: {
    noteRouted: (context) => ({ context: { ...context, requestSent: true }, commands: [] }),
    countBytes: (context, event) => ({ context: addBytes(context, event), commands: [] }),
  },
};

function judge(context: DeliveryContext, event: DeliveryEvent): Outcome | undefined {
  if (event.type === 'flushed') return context.evidence.judgeSent(context, event.nowMs);
  if (event.type === 'receipt') return context.evidence.judgeReceipt(context, event.bytes, event.nowMs);
  return undefined;
}

function addBytes(context: DeliveryContext, event: DeliveryEvent): DeliveryContext {
  return event.type === 'chunk' ? { ...context, sentBytes: context.sentBytes + event.bytes } : context;
}
