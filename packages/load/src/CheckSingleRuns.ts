import { groupBy } from '#load/GroupBy.js';
import type { OrderEvent } from '#load/OrderEvent.js';
import type { Violation } from '#load/Violation.js';

/** Checks that each idempotency id of a team runs at most once. */
export function checkSingleRuns(orders: readonly OrderEvent[]): readonly Violation[] {
  const marked = orders.filter((order) => order.idempotencyKey !== '');
  const groups = groupBy(marked, (order) => `${order.team}/${order.idempotencyKey}`);
  return [...groups]
    .filter(([, group]) => group.length > 1)
    .map(([name, group]) => ({
      rule: 'ranTwice',
      message: `${name} ran ${group.length} times, on ${group.map((order) => order.serverId).join(', ')}`,
    }));
}
