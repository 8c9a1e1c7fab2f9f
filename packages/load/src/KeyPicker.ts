import type { RandomSource } from '#core/RandomSource.js';
import type { KeyPopularity } from '#load/KeyPopularity.js';
import { createZipfTable } from '#load/CreateZipfTable.js';

/** Distance between the keys that have one rank before and after a change of the hot keys. */
const GENERATION_STEP = 7_919;

/** Draws keys at random by their popularity. */
export class KeyPicker {
  private readonly cumulative: readonly number[];

  public constructor(
    private readonly popularity: KeyPopularity,
    private readonly random: RandomSource,
  ) {
    this.cumulative = createZipfTable(popularity.keyCount, popularity.exponent);
  }

  /** Draws the key of a request that starts `elapsedMs` after the start of the run. */
  public pick(elapsedMs: number): string {
    const rank = findRank(this.cumulative, this.random.fraction());
    const { keyCount, hotKeys, shiftEveryMs } = this.popularity;
    if (rank >= hotKeys) return `key-${rank}`;
    const generation = Math.floor(elapsedMs / shiftEveryMs);
    return `key-${(rank + generation * GENERATION_STEP) % keyCount}`;
  }
}

/** Finds the first rank whose cumulative probability exceeds `fraction`. */
function findRank(cumulative: readonly number[], fraction: number): number {
  let low = 0;
  let high = cumulative.length - 1;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((cumulative[middle] ?? 1) > fraction) high = middle;
    else low = middle + 1;
  }
  return low;
}
