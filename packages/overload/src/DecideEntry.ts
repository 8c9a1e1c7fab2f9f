import type { EntryDecision } from '#overload/EntryDecision.js';
import type { EntryFacts } from '#overload/EntryFacts.js';
import type { ServiceOutlook } from '#overload/ServiceOutlook.js';

/**
 * Decides whether a request is sent to one of `candidates`, or refused because each of them is known to be full. A server
 * of which nothing recent is known counts as having room.
 */
export function decideEntry<T extends { readonly serverId: string }>(
  outlook: ServiceOutlook,
  facts: EntryFacts,
  candidates: readonly T[],
  nowMs: number,
): EntryDecision<T> {
  const known = candidates.map((each) => ({
    candidate: each,
    fullness: outlook.findFullness(each.serverId, facts, nowMs),
  }));
  const open = known.filter(({ fullness }) => fullness === undefined);
  if (open.length > 0)
    return { type: 'send', candidates: open.map(({ candidate }) => candidate), isProbe: false };
  if (candidates.length === 0 || facts.isExempt) return { type: 'send', candidates, isProbe: false };
  if (outlook.takeProbe()) return { type: 'send', candidates, isProbe: true };
  const full = known.flatMap(({ fullness }) => fullness ?? []);
  return {
    type: 'refuse',
    retryAfterMs: Math.min(...full.map(({ reopensInMs }) => reopensInMs)),
    ageMs: Math.max(...full.map(({ ageMs }) => ageMs)),
  };
}
