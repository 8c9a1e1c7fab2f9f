import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from 'pure-rand';

const MAX_UINT32 = 0xffff_ffff;

/** Seeded pseudo-random number generator, so that a run is reproducible. */
export class RandomSource {
  private readonly generator: RandomGenerator;

  public constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns an integer in `[0, limit)`. */
  public integer(limit: number): number {
    return unsafeUniformIntDistribution(0, limit - 1, this.generator);
  }

  /** Returns a number in `[0, 1)`. */
  public fraction(): number {
    return this.integer(MAX_UINT32) / MAX_UINT32;
  }

  /** Returns one of `items`; undefined if there are none. */
  public pick<T>(items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.integer(items.length)];
  }
}
