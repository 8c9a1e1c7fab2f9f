import { groupBy } from '#load/GroupBy.js';
import type { ExecutionEvent } from '#load/ExecutionEvent.js';
import type { HistoryViolation } from '#load/HistoryViolation.js';

/** Checks that each idempotency id of a team runs at most once. */
export function checkSingleRuns(orders: readonly ExecutionEvent[]): readonly HistoryViolation[] {
  const marked = orders.filter((order) => order.idempotencyKey !== '');
  const groups = groupBy(marked, (order) => `${order.team}/${order.idempotencyKey}`);
  return [...groups]
    .filter(([, group]) => group.length > 1)
    .map(([name, group]) => ({
      rule: 'ranTwice',
      message: `${name} ran ${group.length} times, on ${group.map((order) => order.serverId).join(', ')}`,
    }));
}
