import type { ResponseEvent } from '#load/ResponseEvent.js';
import type { SendEvent } from '#load/SendEvent.js';
import type { HistoryViolation } from '#load/HistoryViolation.js';

/** Checks that each response belongs to an attempt of the same team, arrived once, and has the right, whole body. */
export function checkResponses(
  sends: readonly SendEvent[],
  responses: readonly ResponseEvent[],
): readonly HistoryViolation[] {
  const sent = new Map(sends.map((send) => [`${send.requestId}#${send.attempt}`, send]));
  const seen = new Set<string>();
  return responses.flatMap((response) => {
    const name = `${response.requestId}#${response.attempt}`;
    const found: HistoryViolation[] = []; // eslint-disable-line no-restricted-syntax -- local result
    const team = sent.get(name)?.team;
    if (team !== response.team)
      found.push({
        rule: 'foreignResponse',
        message: `${name} of ${team ?? 'nobody'} went to ${response.team}`,
      });
    if (!response.isContentRight)
      found.push({
        rule: 'wrongContent',
        message: `${name} got status ${response.status} with other content`,
      });
    if (seen.has(name)) found.push({ rule: 'doubleResponse', message: `${name} got two responses` });
    seen.add(name);
    return found;
  });
}
