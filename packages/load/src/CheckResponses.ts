import type { ResponseEvent } from '#load/ResponseEvent.js';
import type { SendEvent } from '#load/SendEvent.js';
import type { HistoryViolation } from '#load/HistoryViolation.js';

/** Checks that each attempt gets at most one response, which reaches the team that sent it with the expected body. */
export function checkResponses(
  sends: readonly SendEvent[],
  responses: readonly ResponseEvent[],
): readonly HistoryViolation[] {
  const sent = new Map(sends.map((send) => [`${send.requestId}#${send.attempt}`, send]));
  const seen = new Set<string>();
  return responses.flatMap((response) => {
    const name = `${response.requestId}#${response.attempt}`;
    const violations: HistoryViolation[] = []; // eslint-disable-line no-restricted-syntax -- local result
    const team = sent.get(name)?.team;
    if (team !== response.team)
      violations.push({
        rule: 'foreignResponse',
        message: `${name} was sent by ${team ?? 'nobody'}, but its response reached ${response.team}`,
      });
    if (!response.isContentRight)
      violations.push({
        rule: 'wrongContent',
        message: `${name} got status ${response.status} with unexpected content`,
      });
    if (seen.has(name)) violations.push({ rule: 'doubleResponse', message: `${name} got two responses` });
    seen.add(name);
    return violations;
  });
}
