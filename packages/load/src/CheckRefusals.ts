import { groupBy } from '#load/GroupBy.js';
import type { ExecutionEvent } from '#load/ExecutionEvent.js';
import type { ResponseEvent } from '#load/ResponseEvent.js';
import type { SendEvent } from '#load/SendEvent.js';
import type { HistoryViolation } from '#load/HistoryViolation.js';

/** Wall-clock times that two processes of one machine read may differ by one tick. */
const CLOCK_TICK_MS = 1;

/**
 * Checks that no attempt refused as `not run` ran: each execution needs an attempt of its request that was sent before
 * the execution started and was not refused as `not run`.
 */
export function checkRefusals(
  sends: readonly SendEvent[],
  responses: readonly ResponseEvent[],
  executions: readonly ExecutionEvent[],
): readonly HistoryViolation[] {
  const refused = new Set(
    responses
      .filter((response) => response.ran === 'not run')
      .map((response) => `${response.requestId}#${response.attempt}`),
  );
  const attempts = groupBy(sends, (send) => send.requestId);
  return executions
    .filter((execution) => {
      const sentAttempts = attempts.get(execution.requestId) ?? [];
      const mayRun = (send: SendEvent): boolean =>
        !refused.has(`${send.requestId}#${send.attempt}`) && send.atMs <= execution.startMs + CLOCK_TICK_MS;
      return sentAttempts.length > 0 && !sentAttempts.some(mayRun);
    })
    .map((execution) => ({
      rule: 'refusedButRan',
      message: `request ${execution.requestId} ran on ${execution.serverId} at ${execution.startMs}`,
    }));
}
