import { RandomSource } from '#core/RandomSource.js';
import { findParentSlot } from '#assignment/FindParentSlot.js';
import { formatKeyShardId } from '#assignment/FormatKeyShardId.js';
import { slotCount } from '#assignment/SlotCount.js';
import { createZipfTable } from '#load/CreateZipfTable.js';
import type { ImbalanceScenario } from '#load/ImbalanceScenario.js';

const PLACEMENT = '*';

interface Rates {
  readonly slots: ReadonlyMap<string, number>;
  readonly keys: ReadonlyMap<string, number>;
}

/** Generates the request rates of the measurement `imbalance`, by hash slot (all keys) and by hot key (shard id). */
export class ImbalanceLoad {
  private readonly random: RandomSource;
  private readonly shares: readonly number[];
  private generation = -1;
  private rates: Rates = { slots: new Map(), keys: new Map() };

  public constructor(
    private readonly scenario: ImbalanceScenario,
    private readonly seed: number,
  ) {
    this.random = new RandomSource(seed);
    const cumulative = createZipfTable(scenario.hotKeys, scenario.exponent);
    this.shares = cumulative.map((value, rank) => value - (cumulative[rank - 1] ?? 0));
  }

  /** Returns the mean rates at a time in seconds. */
  public ratesAt(second: number): Rates {
    const generation = Math.floor(second / this.scenario.changeEverySeconds);
    if (generation !== this.generation) this.rates = this.createRates(generation);
    this.generation = generation;
    return this.rates;
  }

  /** Returns the counts that servers would report for one second, with the noise of random arrivals. */
  public sample(rates: Rates): Rates {
    const keys = new Map([...rates.keys].map(([shardId, rate]) => [shardId, this.addNoise(rate)]));
    const hotRates = sumBySlot(rates.keys);
    const hotCounts = sumBySlot(keys);
    const slots = [...rates.slots].map(([slot, rate]): readonly [string, number] => [
      slot,
      this.addNoise(rate - (hotRates.get(slot) ?? 0)) + (hotCounts.get(slot) ?? 0),
    ]);
    return { keys, slots: new Map(slots) };
  }

  private createRates(generation: number): Rates {
    const { requestsPerSecond, hotShare } = this.scenario;
    const keys = new Map(
      this.shares.map((share, rank) => [
        formatKeyShardId(PLACEMENT, `${this.seed}/${generation}/${rank}`),
        share * hotShare * requestsPerSecond,
      ]),
    );
    const hotRates = sumBySlot(keys);
    const otherRate = ((1 - hotShare) * requestsPerSecond) / slotCount;
    const slots = Array.from({ length: slotCount }, (_, slot): readonly [string, number] => {
      const slotId = `${PLACEMENT}/${slot}`;
      return [slotId, otherRate + (hotRates.get(slotId) ?? 0)];
    });
    return { keys, slots: new Map(slots) };
  }

  /** Draws a count from the normal approximation of a Poisson distribution (Box-Muller transform). */
  private addNoise(rate: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.fraction()));
    const normal = radius * Math.cos(2 * Math.PI * this.random.fraction());
    return Math.max(0, rate + normal * Math.sqrt(Math.max(0, rate)));
  }
}

function sumBySlot(keys: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  for (const [shardId, rate] of keys) {
    const slot = findParentSlot(shardId) ?? '';
    sums.set(slot, (sums.get(slot) ?? 0) + rate);
  }
  return sums;
}
