import { hashKey } from '#core/HashKey.js';
import type { ReaderCandidate } from '#fanout/ReaderCandidate.js';

/** Ranks the daemons of a failure domain by rendezvous hashing, so that a daemon that joins or ends moves no other. */
export function rankCandidates(
  servers: Iterable<ReaderCandidate>,
  failureDomain: string,
): readonly ReaderCandidate[] {
  return [...servers]
    .filter((server) => server.failureDomain === failureDomain)
    .map((server) => ({ server, hash: hashKey(`reader/${server.serverId}`) }))
    .sort((left, right) => left.hash - right.hash || (left.server.serverId < right.server.serverId ? -1 : 1))
    .map(({ server }) => server);
}
