import { checkOwners } from '#load/CheckOwners.js';
import { checkRefusals } from '#load/CheckRefusals.js';
import { checkResponses } from '#load/CheckResponses.js';
import { checkIdempotency } from '#load/CheckIdempotency.js';
import type { HistoryEvent } from '#load/HistoryEvent.js';
import type { HistoryViolation } from '#load/HistoryViolation.js';

/** Checks a recorded run against all rules and returns every violation. */
export function checkHistory(events: readonly HistoryEvent[]): readonly HistoryViolation[] {
  const sends = events.filter((event) => event.type === 'send');
  const responses = events.filter((event) => event.type === 'response');
  const executions = events.filter((event) => event.type === 'order');
  return [
    ...checkOwners(executions),
    ...checkIdempotency(executions),
    ...checkRefusals(sends, responses, executions),
    ...checkResponses(sends, responses),
  ];
}
