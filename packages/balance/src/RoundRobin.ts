import { BalancePolicy } from '#balance/BalancePolicy.js';
import type { Candidate } from '#balance/Candidate.js';

/** Chooses the candidates in turn, regardless of their load. */
export class RoundRobin extends BalancePolicy {
  private nextIndex = 0;

  protected override chooseAmong(candidates: readonly Candidate[]): Candidate | undefined {
    this.nextIndex = (this.nextIndex + 1) % Number.MAX_SAFE_INTEGER;
    return candidates[this.nextIndex % candidates.length];
  }

  protected override noteLatency(): void {
    return;
  }
}
