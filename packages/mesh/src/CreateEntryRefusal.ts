import type { CallerReply } from '#mesh/CallerReply.js';
import type { MeshExchange } from '#mesh/MeshExchange.js';

/** Longest `Retry-After` time, as a fraction of the time left until the deadline. */
const MAX_RETRY_FRACTION = 0.3;

/** Shortest `Retry-After` time, in milliseconds. */
const MIN_RETRY_MS = 60;

const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;

/** Refusals for lack of capacity, whose retry time is that at which capacity is expected. */
const CAPACITY_REFUSALS: ReadonlySet<string> = new Set(['full', 'displaced', 'noCapacity', 'tooLate']);

/** Creates the reply to a request that no server ran, or that may have run if an attempt was lost. */
export function createEntryRefusal(exchange: MeshExchange, nowMs: number): CallerReply {
  if (exchange.mayHaveRun) return { type: 'refusal', status: BAD_GATEWAY, code: 'lost', retryAfterMs: 0 };
  const code = exchange.lastRefusal ?? 'noServer';
  if (code === 'ownerLost')
    return { type: 'refusal', status: UNAVAILABLE, code, retryAfterMs: exchange.retryAfterMs };
  const longestMs = Math.max(0, (exchange.dueMs - nowMs) * MAX_RETRY_FRACTION);
  const retryAfterMs = CAPACITY_REFUSALS.has(code)
    ? expectedReturnMs(exchange.retryAfterMs, longestMs)
    : Math.min(Math.max(MIN_RETRY_MS, exchange.retryAfterMs), longestMs);
  return { type: 'refusal', status: UNAVAILABLE, code, retryAfterMs };
}

/** Callers give up if the time is too long for them, so none is stated then. */
function expectedReturnMs(retryAfterMs: number, longestMs: number): number {
  return retryAfterMs > longestMs ? 0 : retryAfterMs;
}
