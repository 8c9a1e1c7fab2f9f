import { BalancePolicy } from '#balance/BalancePolicy.js';
import type { Candidate } from '#balance/Candidate.js';
import type { RandomSource } from '#core/RandomSource.js';

/** Chooses the candidate with the lowest reported load per usable slot; ties are broken at random. */
export class LeastReportedLoad extends BalancePolicy {
  protected override chooseAmong(
    candidates: readonly Candidate[],
    random: RandomSource,
  ): Candidate | undefined {
    const loads = candidates.map(({ reportedLoad, slots, share }) => reportedLoad / (slots * share));
    const least = loads.reduce((lowest, load) => Math.min(lowest, load), Infinity);
    return random.pick(candidates.filter((_, index) => loads[index] === least));
  }

  protected override noteLatency(): void {
    return;
  }
}
