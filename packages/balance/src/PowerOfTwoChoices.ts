import { BalancePolicy } from '#balance/BalancePolicy.js';
import type { Candidate } from '#balance/Candidate.js';
import { LatencyAverage } from '#balance/LatencyAverage.js';
import type { RandomSource } from '#core/RandomSource.js';

/** Minimum latency counted for an error, in milliseconds, so that a server that fails fast does not look fast. */
const ERROR_LATENCY_MS = 1_000;

/**
 * Picks two candidates at random and chooses the one with the lower score: requests in flight per usable slot, times the
 * average latency. Reported loads are not used: with reports that lag by 2 s, all daemons switched between the same
 * servers in step, and up to 43 requests waited at some servers while others had 2.
 */
export class PowerOfTwoChoices extends BalancePolicy {
  private readonly latencies = new Map<string, LatencyAverage>();

  protected override chooseAmong(
    candidates: readonly Candidate[],
    random: RandomSource,
    nowMs: number,
  ): Candidate | undefined {
    const firstIndex = random.integer(candidates.length);
    const offset = 1 + random.integer(candidates.length - 1);
    const first = candidates[firstIndex];
    const second = candidates[(firstIndex + offset) % candidates.length];
    if (first === undefined || second === undefined) return first ?? second;
    return this.score(second, nowMs) < this.score(first, nowMs) ? second : first;
  }

  protected override noteLatency(serverId: string, latencyMs: number, ok: boolean, nowMs: number): void {
    const average = this.latencies.get(serverId) ?? new LatencyAverage();
    average.add(ok ? latencyMs : Math.max(latencyMs, ERROR_LATENCY_MS), nowMs);
    this.latencies.set(serverId, average);
  }

  protected override forget(serverId: string): void {
    super.forget(serverId);
    this.latencies.delete(serverId);
  }

  private score(candidate: Candidate, nowMs: number): number {
    // A server without a measurement counts as fast; its requests in flight limit how many more it receives.
    const latencyMs = this.latencies.get(candidate.serverId)?.valueMs(nowMs) ?? 0;
    const load = (this.inFlightOf(candidate.serverId) + 1) / (candidate.slots * candidate.share);
    return load * Math.max(latencyMs, 0.01);
  }
}
