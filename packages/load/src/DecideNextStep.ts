import type { CallResponse } from '#load/CallResponse.js';
import type { Call } from '#load/Call.js';
import type { CallOutcome } from '#load/CallOutcome.js';
import type { NextStep } from '#load/NextStep.js';

const EPOCH_REQUIRED_STATUS = 428;

/**
 * Decides whether a call is retried. The epoch of a request changes only after a response that says `not run`; every
 * other retry keeps the request id and the epoch, so that the owner recognizes the duplicate.
 */
export function decideNextStep(
  call: Call,
  response: CallResponse,
  isContentRight: boolean,
  nowMs: number,
): NextStep {
  const { loadClass, attempt, intendedMs } = call;
  if (response.status >= 200 && response.status < 300) {
    const isLate = nowMs > intendedMs + loadClass.deadlineMs;
    return { kind: 'finish', outcome: isContentRight ? (isLate ? 'late' : 'ok') : 'corrupt' };
  }
  const isNotRun = response.ran === 'not run';
  const epoch = isNotRun && response.epoch !== '' ? response.epoch : call.epoch;
  const target =
    isNotRun && response.alternatives[0] !== undefined ? `http://${response.alternatives[0]}` : call.target;
  const next: Call = { ...call, attempt: attempt + 1, epoch, target };
  if (response.status === EPOCH_REQUIRED_STATUS && call.epoch === '' && epoch !== '')
    return { kind: 'repeat', call: next, delayMs: 0 };
  const isRetriableUnknown =
    response.status === 0 || (loadClass.retriesUnknown === true && response.ran === 'unknown');
  const isFinal = !isRetriableUnknown && !isNotRun;
  const hasTime = nowMs + response.retryAfterMs < intendedMs + loadClass.deadlineMs;
  if (isFinal || !hasTime || attempt > loadClass.maxRetries)
    return { kind: 'finish', outcome: classifyFailure(response) };
  return { kind: 'repeat', call: next, delayMs: response.retryAfterMs };
}

function classifyFailure(response: CallResponse): CallOutcome {
  if (response.ran === 'not run') return 'refused';
  return response.ran === 'ran' ? 'failed' : 'unknown';
}
