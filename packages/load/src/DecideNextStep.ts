import type { CallResponse } from '#load/CallResponse.js';
import type { Call } from '#load/Call.js';
import type { CallOutcome } from '#load/CallOutcome.js';
import type { NextStep } from '#load/NextStep.js';

const EPOCH_REQUIRED = 428;

/**
 * Decides whether a call is repeated. The epoch of a request changes only after an answer that says `not run`; every
 * other repeat keeps the pair of id and epoch, so that the owner recognizes it.
 */
export function decideNextStep(
  call: Call,
  answer: CallResponse,
  isContentRight: boolean,
  nowMs: number,
): NextStep {
  const { part, attempt, intendedMs } = call;
  if (answer.status >= 200 && answer.status < 300) {
    const isLate = nowMs > intendedMs + part.deadlineMs;
    return { kind: 'finish', outcome: isContentRight ? (isLate ? 'late' : 'ok') : 'corrupt' };
  }
  const isNotRun = answer.ran === 'not run';
  const epoch = isNotRun && answer.epoch !== '' ? answer.epoch : call.epoch;
  const target = isNotRun && answer.at[0] !== undefined ? `http://${answer.at[0]}` : call.target;
  const next: Call = { ...call, attempt: attempt + 1, epoch, target };
  if (answer.status === EPOCH_REQUIRED && call.epoch === '' && epoch !== '')
    return { kind: 'repeat', call: next, delayMs: 0 };
  const isUnsure = answer.status === 0 || (part.repeatsUnknown === true && answer.ran === 'unknown');
  const isFinal = !isUnsure && !isNotRun;
  const hasTime = nowMs + answer.retryAfterMs < intendedMs + part.deadlineMs;
  if (isFinal || !hasTime || attempt > part.maxRepeats) return { kind: 'finish', outcome: classify(answer) };
  return { kind: 'repeat', call: next, delayMs: answer.retryAfterMs };
}

function classify(answer: CallResponse): CallOutcome {
  if (answer.ran === 'not run') return 'refused';
  return answer.ran === 'ran' ? 'failed' : 'unknown';
}
