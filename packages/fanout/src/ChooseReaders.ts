import { rankCandidates } from '#fanout/RankCandidates.js';
import type { ReaderCandidate } from '#fanout/ReaderCandidate.js';
import { readersPerDomain } from '#fanout/ReadersPerDomain.js';

/** Chooses the daemons that watch the store for their failure domain. */
export function chooseReaders(
  servers: Iterable<ReaderCandidate>,
  failureDomain: string,
): readonly ReaderCandidate[] {
  return rankCandidates(servers, failureDomain).slice(0, readersPerDomain);
}
