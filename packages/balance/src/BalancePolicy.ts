import type { Candidate } from '#balance/Candidate.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { RequestFacts } from '#balance/RequestFacts.js';

/**
 * Chooses a backend server for a request without a key. The nearest group of candidates that is not saturated is used:
 * own failure domain, own region, then other regions if the request allows them; if all are saturated, all of them. A
 * request that leaves its failure domain goes only to servers with room.
 */
export abstract class BalancePolicy {
  private readonly inFlight = new Map<string, number>();

  /** Returns the chosen candidate, or undefined if none is allowed. The caller then calls `started`. */
  public choose(
    candidates: readonly Candidate[],
    facts: RequestFacts,
    random: RandomSource,
    nowMs: number,
  ): Candidate | undefined {
    const near = this.selectNear(candidates, facts);
    return near.length <= 1 ? near[0] : this.chooseAmong(near, random, nowMs);
  }

  /** Notes that a request was sent to a server. */
  public noteStarted(serverId: string): void {
    this.inFlight.set(serverId, this.inFlightOf(serverId) + 1);
  }

  /** Notes that a request to a server ended after `latencyMs`; `ok` is false for errors of the server. */
  public noteFinished(serverId: string, latencyMs: number, ok: boolean, nowMs: number): void {
    this.inFlight.set(serverId, Math.max(0, this.inFlightOf(serverId) - 1));
    this.noteLatency(serverId, latencyMs, ok, nowMs);
  }

  /** Forgets servers that are no longer members. */
  public retain(serverIds: ReadonlySet<string>): void {
    for (const id of this.inFlight.keys()) if (!serverIds.has(id)) this.forget(id);
  }

  /** Requests of this daemon that are in flight at a server. */
  public inFlightOf(serverId: string): number {
    return this.inFlight.get(serverId) ?? 0;
  }

  /** Chooses among at least two candidates. */
  protected abstract chooseAmong(
    candidates: readonly Candidate[],
    random: RandomSource,
    nowMs: number,
  ): Candidate | undefined;

  /** Measures an ended request. */
  protected abstract noteLatency(serverId: string, latencyMs: number, ok: boolean, nowMs: number): void;

  /** Forgets what is known of a server. */
  protected forget(serverId: string): void {
    this.inFlight.delete(serverId);
  }

  /** Load of a server: the larger of the last report, which lags, and the requests of this daemon alone. */
  protected loadOf(candidate: Candidate): number {
    return Math.max(candidate.reportedLoad, this.inFlightOf(candidate.serverId));
  }

  private selectNear(candidates: readonly Candidate[], facts: RequestFacts): readonly Candidate[] {
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
