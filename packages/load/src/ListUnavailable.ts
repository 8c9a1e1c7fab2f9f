import type { HistoryEvent } from '#load/HistoryEvent.js';

/**
 * Computes for how long keys were not served after an event: per key, from the event to the send time of the first
 * good request after the last failed one, in milliseconds. A key that was not served again has an infinite time.
 */
export function listUnavailable(
  events: readonly HistoryEvent[],
  keys: ReadonlyMap<string, string>,
  isHit: (key: string) => boolean,
  causedMs: number,
): { readonly shards: number; readonly failed: number; readonly timesMs: readonly number[] } {
  const good = new Set(
    events.flatMap((event) => (event.type === 'response' && event.status < 300 ? [event.requestId] : [])),
  );
  const lastFailed = new Map<string, number>();
  const servedAgain = new Map<string, number>();
  const hit = new Set<string>();
  let failed = 0;
  for (const event of events) {
    if (event.type !== 'send' || event.atMs < causedMs) continue;
    const key = keys.get(event.requestId) ?? '';
    if (!isHit(key)) continue;
    hit.add(key);
    if (!good.has(event.requestId)) {
      failed++;
      lastFailed.set(key, event.atMs);
      servedAgain.delete(key);
    } else if (lastFailed.has(key) && !servedAgain.has(key)) servedAgain.set(key, event.atMs);
  }
  const timesMs = [...hit].map((key) =>
    lastFailed.has(key) ? (servedAgain.get(key) ?? Infinity) - causedMs : 0,
  );
  return { shards: hit.size, failed, timesMs };
}
