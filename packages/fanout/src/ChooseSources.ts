import { hashKey } from '#core/HashKey.js';
import { chooseReaders } from '#fanout/ChooseReaders.js';
import { rankCandidates } from '#fanout/RankCandidates.js';
import type { ReaderCandidate } from '#fanout/ReaderCandidate.js';

/**
 * Daemons that are tried before the store. They include two that rank behind the readers: if both readers are gone, these
 * read the store themselves, and the others need not.
 */
const MAX_SOURCES = 4;

/**
 * Lists the daemons from which `own` gets changes, in the order in which it tries them. The list is empty if `own` is a
 * reader. Followers are spread over the readers by their ids.
 */
export function chooseSources(
  servers: Iterable<ReaderCandidate>,
  own: ReaderCandidate,
): readonly ReaderCandidate[] {
  const others = [...servers].filter(({ serverId }) => serverId !== own.serverId);
  const all = [...others, own];
  const readers = chooseReaders(all, own.failureDomain);
  if (readers.some(({ serverId }) => serverId === own.serverId)) return [];
  const ranked = rankCandidates(all, own.failureDomain);
  const rank = ranked.findIndex(({ serverId }) => serverId === own.serverId);
  const reserves = ranked.slice(readers.length, Math.min(rank, MAX_SOURCES));
  const first = hashKey(`follower/${own.serverId}`) % readers.length;
  return [...readers.slice(first), ...readers.slice(0, first), ...reserves];
}
