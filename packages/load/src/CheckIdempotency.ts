import { groupBy } from '#load/GroupBy.js';
import type { ExecutionEvent } from '#load/ExecutionEvent.js';
import type { HistoryViolation } from '#load/HistoryViolation.js';

/** Checks that each idempotency key of a team runs at most once. */
export function checkIdempotency(executions: readonly ExecutionEvent[]): readonly HistoryViolation[] {
  const withKey = executions.filter((execution) => execution.idempotencyKey !== '');
  const groups = groupBy(withKey, (execution) => `${execution.team}/${execution.idempotencyKey}`);
  return [...groups]
    .filter(([, group]) => group.length > 1)
    .map(([name, group]) => ({
      rule: 'ranTwice',
      message: `${name} ran ${group.length} times, on ${group.map((execution) => execution.serverId).join(', ')}`,
    }));
}
