import type { HedgeOffer } from '#hedging/HedgeOffer.js';
import type { MeshExchange } from '#mesh/MeshExchange.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';

/**
 * Creates the permission to hedge the next copy of a request; undefined if it may not run twice, or if two further servers
 * would exceed the attempts of its route. Without candidates there is no other server, as for a key with one owner.
 */
export function createHedgeOffer(
  { route, arrivals }: MeshExchange,
  candidates: readonly ServerEntry[],
): HedgeOffer<ServerEntry> | undefined {
  if (!route.idempotent || candidates.length < 2 || arrivals + 2 > route.maxAttempts) return undefined;
  return { kind: route.name, candidates };
}
