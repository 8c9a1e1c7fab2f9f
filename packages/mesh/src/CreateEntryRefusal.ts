import type { CallerReply } from '#mesh/CallerReply.js';
import type { MeshExchange } from '#mesh/MeshExchange.js';

/** Longest `Retry-After` time, as a fraction of the time left until the deadline. */
const MAX_RETRY_FRACTION = 0.3;

/** Shortest `Retry-After` time, in milliseconds. */
const MIN_RETRY_MS = 60;

const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;

/** Creates the reply to a request that no server ran, or that may have run if an attempt was lost. */
export function createEntryRefusal(exchange: MeshExchange, nowMs: number): CallerReply {
  if (exchange.mayHaveRun) return { type: 'refusal', status: BAD_GATEWAY, code: 'lost', retryAfterMs: 0 };
  const leftMs = exchange.dueMs - nowMs;
  const retryAfterMs = Math.min(
    Math.max(MIN_RETRY_MS, exchange.retryAfterMs),
    Math.max(0, leftMs * MAX_RETRY_FRACTION),
  );
  return { type: 'refusal', status: UNAVAILABLE, code: exchange.lastRefusal ?? 'noServer', retryAfterMs };
}
