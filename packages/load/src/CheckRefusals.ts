import { groupBy } from '#load/GroupBy.js';
import type { ExecutionEvent } from '#load/ExecutionEvent.js';
import type { ResponseEvent } from '#load/ResponseEvent.js';
import type { SendEvent } from '#load/SendEvent.js';
import type { HistoryViolation } from '#load/HistoryViolation.js';

/** Wall-clock readings of two processes of one machine may be a tick apart. */
const CLOCK_TICK_MS = 1;

/**
 * Checks that no attempt refused as `not run` ran: an order needs an attempt of its request that was not so refused and
 * was sent before the order started.
 */
export function checkRefusals(
  sends: readonly SendEvent[],
  responses: readonly ResponseEvent[],
  orders: readonly ExecutionEvent[],
): readonly HistoryViolation[] {
  const refused = new Set(
    responses.filter((one) => one.ran === 'not run').map((one) => `${one.requestId}#${one.attempt}`),
  );
  const attempts = groupBy(sends, (send) => send.requestId);
  return orders
    .filter((order) => {
      const sent = attempts.get(order.requestId) ?? [];
      const mayRun = (send: SendEvent): boolean =>
        !refused.has(`${send.requestId}#${send.attempt}`) && send.atMs <= order.startMs + CLOCK_TICK_MS;
      return sent.length > 0 && !sent.some(mayRun);
    })
    .map((order) => ({
      rule: 'refusedButRan',
      message: `request ${order.requestId} ran on ${order.serverId} at ${order.startMs}`,
    }));
}
