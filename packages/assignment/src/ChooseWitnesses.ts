import { hashKey } from '#core/HashKey.js';
import type { Cell } from '#assignment/Cell.js';
import { findMember } from '#assignment/FindMember.js';
import type { WitnessCandidate } from '#assignment/WitnessCandidate.js';

const WITNESS_COUNT = 3;

/**
 * Chooses up to three witnesses for a member (docs/design.md, section 6, "Witness selection"): in its region and on
 * other VMs, two of them outside its failure domain, and the third in another further domain or else in its own. Silent
 * servers come last, and current witnesses are preferred. Ties are broken by rendezvous hash, which spreads the
 * renewals over the daemons.
 */
export function chooseWitnesses(
  cell: Cell,
  serverId: string,
  peers: readonly WitnessCandidate[] = [],
  silent: readonly string[] = [],
): readonly string[] {
  const holder = findMember(cell, serverId);
  if (holder === undefined) return [];
  const known = new Map([...peers, ...cell.members].map((candidate) => [candidate.serverId, candidate]));
  let candidates = [...known.values()].filter(
    (candidate) =>
      candidate.state !== 'gone' && candidate.region === holder.region && candidate.vm !== holder.vm,
  );
  const hashes = new Map(candidates.map((one) => [one.serverId, hashKey(`${serverId}/${one.serverId}`)]));
  let chosen: readonly WitnessCandidate[] = [];
  while (chosen.length < WITNESS_COUNT && candidates.length > 0) {
    const ranked = candidates.map((candidate) => ({
      candidate,
      rank: [
        silent.includes(candidate.serverId) ? 1 : 0,
        rankDomain(candidate.failureDomain, holder.failureDomain, chosen),
        chosen.some((other) => other.vm === candidate.vm) ? 1 : 0,
        candidate.state === 'draining' ? 1 : 0,
        holder.witnesses.includes(candidate.serverId) ? 0 : 1,
        hashes.get(candidate.serverId) ?? 0,
      ],
    }));
    const best = ranked.reduce((left, right) => (compareRanks(left.rank, right.rank) <= 0 ? left : right));
    chosen = [...chosen, best.candidate];
    candidates = candidates.filter((candidate) => candidate !== best.candidate);
  }
  return chosen.map((candidate) => candidate.serverId);
}

/** Ranks a failure domain: one without a witness first; then, for the third witness only, the holder's own. */
function rankDomain(domain: string, own: string, chosen: readonly WitnessCandidate[]): number {
  const isThird = chosen.length === WITNESS_COUNT - 1;
  if (domain === own) return isThird ? 1 : 2;
  if (!chosen.some((other) => other.failureDomain === domain)) return 0;
  return isThird ? 2 : 1;
}

function compareRanks(left: readonly number[], right: readonly number[]): number {
  const index = left.findIndex((value, position) => value !== right[position]);
  return index < 0 ? 0 : (left[index] ?? 0) - (right[index] ?? 0);
}
