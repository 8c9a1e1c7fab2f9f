import { BalancePolicy } from '#balance/BalancePolicy.js';
import type { Candidate } from '#balance/Candidate.js';
import { LatencyAverage } from '#balance/LatencyAverage.js';
import type { RandomSource } from '#core/RandomSource.js';

/** Latency counted for an error, in milliseconds, so that a server that fails fast does not look fast. */
const ERROR_LATENCY_MS = 1_000;

/**
 * Takes two candidates at random and chooses the one with the lower expected time: requests in flight, weighted by
 * the share, times the latency average. Reported loads are left out: with reports that lag by 2 s, all daemons avoided
 * and sought the same servers in turn, and up to 43 requests waited at some servers while others had 2.
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
    // A server without a measurement counts as fast as any, and its requests in flight bound the trial.
    const latencyMs = this.latencies.get(candidate.serverId)?.valueMs(nowMs) ?? 0;
    const load = (this.inFlightOf(candidate.serverId) + 1) / (candidate.slots * candidate.share);
    return load * Math.max(latencyMs, 0.01);
  }
}
