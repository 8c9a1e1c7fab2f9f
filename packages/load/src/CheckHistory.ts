import { checkOwners } from '#load/CheckOwners.js';
import { checkRefusals } from '#load/CheckRefusals.js';
import { checkResponses } from '#load/CheckResponses.js';
import { checkSingleRuns } from '#load/CheckSingleRuns.js';
import type { HistoryEvent } from '#load/HistoryEvent.js';
import type { HistoryViolation } from '#load/HistoryViolation.js';

/** Checks a recorded run against all rules; an empty result means that none is broken. */
export function checkHistory(events: readonly HistoryEvent[]): readonly HistoryViolation[] {
  const sends = events.filter((event) => event.type === 'send');
  const responses = events.filter((event) => event.type === 'response');
  const orders = events.filter((event) => event.type === 'order');
  return [
    ...checkOwners(orders),
    ...checkSingleRuns(orders),
    ...checkRefusals(sends, responses, orders),
    ...checkResponses(sends, responses),
  ];
}
