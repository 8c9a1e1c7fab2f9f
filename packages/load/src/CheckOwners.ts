import { groupBy } from '#load/GroupBy.js';
import type { ExecutionEvent } from '#load/ExecutionEvent.js';
import type { HistoryViolation } from '#load/HistoryViolation.js';

/**
 * Checks that each key has one owner at a time: orders of a key on different servers never overlap, no two servers use
 * one token, and no order starts with a token older than one that has been used.
 */
export function checkOwners(orders: readonly ExecutionEvent[]): readonly HistoryViolation[] {
  const keyed = orders.filter((order) => order.key !== '');
  return [...groupBy(keyed, (order) => order.key).values()].flatMap((group) => checkKey(group));
}

function checkKey(orders: readonly ExecutionEvent[]): readonly HistoryViolation[] {
  const sorted = [...orders].sort((left, right) => left.startMs - right.startMs);
  const violations: HistoryViolation[] = []; // eslint-disable-line no-restricted-syntax -- local result
  const owners = new Map<number, string>();
  // The order that ends last on each server; an overlap with any order of a server is one with this one.
  const lastEnds = new Map<string, ExecutionEvent>();
  let newest = sorted[0];
  for (const order of sorted) {
    for (const [serverId, other] of lastEnds)
      if (serverId !== order.serverId && other.endMs > order.startMs)
        violations.push(describe('twoOwners', other, order));
    if (newest !== undefined && newest.token > order.token && newest.startMs < order.startMs)
      violations.push(describe('staleToken', newest, order));
    const owner = owners.get(order.token) ?? order.serverId;
    if (owner !== order.serverId)
      violations.push(describe('sharedToken', { ...order, serverId: owner }, order));
    owners.set(order.token, owner);
    if (newest === undefined || order.token > newest.token) newest = order;
    const last = lastEnds.get(order.serverId);
    if (last === undefined || order.endMs > last.endMs) lastEnds.set(order.serverId, order);
  }
  return violations;
}

function describe(
  rule: HistoryViolation['rule'],
  first: ExecutionEvent,
  second: ExecutionEvent,
): HistoryViolation {
  const text = [first, second].map(
    (order) => `${order.serverId} token ${order.token} from ${order.startMs} to ${order.endMs}`,
  );
  return { rule, message: `key ${second.key}: ${text.join('; ')}` };
}
