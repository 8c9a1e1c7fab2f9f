import { groupBy } from '#load/GroupBy.js';
import type { ExecutionEvent } from '#load/ExecutionEvent.js';
import type { HistoryViolation } from '#load/HistoryViolation.js';

/**
 * Checks that each key has one owner at a time: executions of a key on different servers never overlap, no two servers
 * use the same token, and no execution starts with a token lower than one that was used before.
 */
export function checkOwners(executions: readonly ExecutionEvent[]): readonly HistoryViolation[] {
  const keyed = executions.filter((execution) => execution.key !== '');
  return [...groupBy(keyed, (execution) => execution.key).values()].flatMap((group) => checkKey(group));
}

function checkKey(executions: readonly ExecutionEvent[]): readonly HistoryViolation[] {
  const sorted = [...executions].sort((left, right) => left.startMs - right.startMs);
  const violations: HistoryViolation[] = []; // eslint-disable-line no-restricted-syntax -- local result
  const owners = new Map<number, string>();
  // The last execution to end on each server; if any execution of that server overlaps, this one does.
  const lastEnds = new Map<string, ExecutionEvent>();
  let highest = sorted[0];
  for (const execution of sorted) {
    for (const [serverId, other] of lastEnds)
      if (serverId !== execution.serverId && other.endMs > execution.startMs)
        violations.push(describeViolation('twoOwners', other, execution));
    if (highest !== undefined && highest.token > execution.token && highest.startMs < execution.startMs)
      violations.push(describeViolation('staleToken', highest, execution));
    const owner = owners.get(execution.token) ?? execution.serverId;
    if (owner !== execution.serverId)
      violations.push(describeViolation('sharedToken', { ...execution, serverId: owner }, execution));
    owners.set(execution.token, owner);
    if (highest === undefined || execution.token > highest.token) highest = execution;
    const last = lastEnds.get(execution.serverId);
    if (last === undefined || execution.endMs > last.endMs) lastEnds.set(execution.serverId, execution);
  }
  return violations;
}

function describeViolation(
  rule: HistoryViolation['rule'],
  first: ExecutionEvent,
  second: ExecutionEvent,
): HistoryViolation {
  const text = [first, second].map(
    (execution) =>
      `${execution.serverId} token ${execution.token} from ${execution.startMs} to ${execution.endMs}`,
  );
  return { rule, message: `key ${second.key}: ${text.join('; ')}` };
}
