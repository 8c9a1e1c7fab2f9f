import { BalancePolicy } from '#balance/BalancePolicy.js';
import type { Candidate } from '#balance/Candidate.js';

/** Chooses candidates in turn, whatever their load. */
export class RoundRobin extends BalancePolicy {
  private turn = 0;

  protected override chooseAmong(candidates: readonly Candidate[]): Candidate | undefined {
    this.turn = (this.turn + 1) % Number.MAX_SAFE_INTEGER;
    return candidates[this.turn % candidates.length];
  }

  protected override noteLatency(): void {
    return;
  }
}
