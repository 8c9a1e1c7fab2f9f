import type { CallerBodyFault } from '#mesh/CallerBodyFault.js';
import type { CallerReply } from '#mesh/CallerReply.js';

/** `Retry-After` time of a request whose body exceeds the memory for all bodies. */
const BUDGET_RETRY_MS = 1_000;

/** `Retry-After` time while the daemon shuts down. */
const STOPPING_RETRY_MS = 400;

/** Creates the reply to a request that has not run, since its body did not arrive or cannot be held. */
export function createBodyRefusal(fault: CallerBodyFault): CallerReply {
  switch (fault) {
    case 'malformed':
      return { type: 'refusal', status: 400, code: 'malformedBody', retryAfterMs: 0 };
    case 'timeout':
      return { type: 'refusal', status: 408, code: 'bodyTimeout', retryAfterMs: 0 };
    case 'tooLarge':
      return { type: 'refusal', status: 413, code: 'bodyTooLarge', retryAfterMs: 0 };
    case 'overBudget':
      return { type: 'refusal', status: 503, code: 'full', retryAfterMs: BUDGET_RETRY_MS };
    case 'stopping':
      return { type: 'refusal', status: 503, code: 'stopping', retryAfterMs: STOPPING_RETRY_MS };
  }
}
