import { hashKey } from '#core/HashKey.js';

/** Chooses the daemon that divides the rate limit of a tenant, by rendezvous hashing; undefined without daemons. */
export function chooseQuotaHolder(serverIds: readonly string[], tenant: string): string | undefined {
  let best: { readonly serverId: string; readonly score: number } | undefined;
  for (const serverId of serverIds) {
    const score = hashKey(`${serverId}/${tenant}`);
    const wins =
      best === undefined || score > best.score || (score === best.score && serverId > best.serverId);
    if (wins) best = { serverId, score };
  }
  return best?.serverId;
}
