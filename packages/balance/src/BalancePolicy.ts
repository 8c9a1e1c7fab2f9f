import type { Candidate } from '#balance/Candidate.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { RequestFacts } from '#balance/RequestFacts.js';

/**
 * Chooses a backend server for a request without a key, from the nearest group of candidates that is not saturated: own
 * failure domain, own region, then other regions if the request allows them. Outside the own failure domain, only servers
 * with free slots are considered. If all candidates are saturated, all are considered.
 */
export abstract class BalancePolicy {
  private readonly inFlight = new Map<string, number>();

  /** Returns the chosen candidate, or undefined if none is allowed. The caller must then call `noteStarted`. */
  public choose(
    candidates: readonly Candidate[],
    facts: RequestFacts,
    random: RandomSource,
    nowMs: number,
  ): Candidate | undefined {
    const nearest = this.selectNearest(candidates, facts);
    return nearest.length <= 1 ? nearest[0] : this.chooseAmong(nearest, random, nowMs);
  }

  /** Notes that a request was sent to a server. */
  public noteStarted(serverId: string): void {
    this.inFlight.set(serverId, this.inFlightOf(serverId) + 1);
  }

  /** Notes that a request to a server ended after `latencyMs`; `ok` is false if the server failed. */
  public noteFinished(serverId: string, latencyMs: number, ok: boolean, nowMs: number): void {
    this.inFlight.set(serverId, Math.max(0, this.inFlightOf(serverId) - 1));
    this.noteLatency(serverId, latencyMs, ok, nowMs);
  }

  /** Forgets all servers except the given ones. */
  public retain(serverIds: ReadonlySet<string>): void {
    for (const id of this.inFlight.keys()) if (!serverIds.has(id)) this.forget(id);
  }

  /** Number of requests of this daemon in flight at a server. */
  public inFlightOf(serverId: string): number {
    return this.inFlight.get(serverId) ?? 0;
  }

  /** Chooses among at least two candidates. */
  protected abstract chooseAmong(
    candidates: readonly Candidate[],
    random: RandomSource,
    nowMs: number,
  ): Candidate | undefined;

  /** Records the latency of an ended request. */
  protected abstract noteLatency(serverId: string, latencyMs: number, ok: boolean, nowMs: number): void;

  /** Forgets all measurements of a server. */
  protected forget(serverId: string): void {
    this.inFlight.delete(serverId);
  }

  /** Load of a server: the larger of its last report, which lags, and the requests of this daemon in flight there. */
  protected loadOf(candidate: Candidate): number {
    return Math.max(candidate.reportedLoad, this.inFlightOf(candidate.serverId));
  }

  private selectNearest(candidates: readonly Candidate[], facts: RequestFacts): readonly Candidate[] {
    const allowed = candidates.filter((candidate) => isAllowed(candidate, facts));
    const domain = allowed.filter((candidate) => isInDomain(candidate, facts));
    if (domain.some((candidate) => this.hasRoom(candidate))) return domain;
    const open = allowed.filter((candidate) => this.hasRoom(candidate));
    const region = open.filter((candidate) => candidate.region === facts.region);
    if (region.length > 0) return region;
    return open.length > 0 ? open : allowed;
  }

  private hasRoom(candidate: Candidate): boolean {
    return this.loadOf(candidate) < candidate.slots * candidate.share;
  }
}

function isAllowed(candidate: Candidate, facts: RequestFacts): boolean {
  if (candidate.share <= 0 || facts.excluded.has(candidate.serverId)) return false;
  if (facts.homeRegions.length > 0 && !facts.homeRegions.includes(candidate.region)) return false;
  return facts.otherRegions || candidate.region === facts.region;
}

function isInDomain(candidate: Candidate, facts: RequestFacts): boolean {
  return candidate.region === facts.region && candidate.failureDomain === facts.failureDomain;
}
