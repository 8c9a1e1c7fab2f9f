import type { HistoryEvent } from '#load/HistoryEvent.js';

/**
 * Computes for how long each key was unavailable after an event: from the event to the send time of the first
 * successful request after the last failed one, in milliseconds; infinite for a key that was not served again.
 */
export function measureUnavailability(
  events: readonly HistoryEvent[],
  keys: ReadonlyMap<string, string>,
  isAffected: (key: string) => boolean,
  eventMs: number,
): { readonly affectedKeys: number; readonly failed: number; readonly timesMs: readonly number[] } {
  const succeeded = new Set(
    events.flatMap((event) => (event.type === 'response' && event.status < 300 ? [event.requestId] : [])),
  );
  const lastFailed = new Map<string, number>();
  const servedAgain = new Map<string, number>();
  const affected = new Set<string>();
  let failed = 0;
  for (const event of events) {
    if (event.type !== 'send' || event.atMs < eventMs) continue;
    const key = keys.get(event.requestId) ?? '';
    if (!isAffected(key)) continue;
    affected.add(key);
    if (!succeeded.has(event.requestId)) {
      failed++;
      lastFailed.set(key, event.atMs);
      servedAgain.delete(key);
    } else if (lastFailed.has(key) && !servedAgain.has(key)) servedAgain.set(key, event.atMs);
  }
  const timesMs = [...affected].map((key) =>
    lastFailed.has(key) ? (servedAgain.get(key) ?? Infinity) - eventMs : 0,
  );
  return { affectedKeys: affected.size, failed, timesMs };
}
