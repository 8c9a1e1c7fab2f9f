import { CostAwarePolicy } from '#assignment/CostAwarePolicy.js';
import { GreedyPolicy } from '#assignment/GreedyPolicy.js';
import { RendezvousPolicy } from '#assignment/RendezvousPolicy.js';
import type { ImbalanceScenario } from '#load/ImbalanceScenario.js';
import type { ImbalanceVariant } from '#load/ImbalanceVariant.js';
import { Measurement } from '#load/Measurement.js';
import type { MeasurementResult } from '#load/MeasurementResult.js';
import { runImbalance } from '#load/RunImbalance.js';

const SCENARIO: ImbalanceScenario = {
  members: 6,
  hotKeys: 390,
  exponent: 1,
  hotShare: 0.6,
  requestsPerSecond: 2_000,
  changeEverySeconds: 120,
  durationSeconds: 1_920,
  smoothingMs: 5_000,
};

const CHOSEN = 'cost-aware, key rows';

const VARIANTS: readonly ImbalanceVariant[] = [
  { name: 'hashing alone', policy: new RendezvousPolicy(), splitsKeys: false },
  { name: 'greedy', policy: new GreedyPolicy(), splitsKeys: false },
  { name: 'greedy, key rows', policy: new GreedyPolicy(), splitsKeys: true },
  { name: 'cost-aware', policy: new CostAwarePolicy(), splitsKeys: false },
  { name: CHOSEN, policy: new CostAwarePolicy(), splitsKeys: true },
];

const MAX_IMBALANCE = 1.25;
const MAX_KEYS_MOVED = 2;

/** Load imbalance and key churn while all hot keys are replaced every 2 minutes, at today's sizes. */
export class ImbalanceMeasurement extends Measurement {
  public override readonly name: string = 'imbalance';
  public override readonly baseline: string = 'hashing alone';
  public override readonly target: string =
    `${CHOSEN}: greatest over mean load of the members at most ${MAX_IMBALANCE} on average, ` +
    `at most ${MAX_KEYS_MOVED} % of all keys moved a minute`;

  public override run(seed: number): Promise<MeasurementResult> {
    const figures = VARIANTS.map((variant) => ({
      name: variant.name,
      ...runImbalance(SCENARIO, variant, seed),
    }));
    const base = figures.find(({ name }) => name === this.baseline)?.meanImbalance ?? 1;
    const chosen = figures.find(({ name }) => name === CHOSEN);
    return Promise.resolve({
      columns: [
        'variant',
        'mean',
        'p95',
        'worst',
        'excess/base',
        'slots/min',
        'rows/min',
        '% keys/min',
        '% load/min',
        'rows',
        'plan ms',
      ],
      rows: figures.map((one) => [
        one.name,
        one.meanImbalance,
        one.p95Imbalance,
        one.worstImbalance,
        (one.meanImbalance - 1) / (base - 1),
        one.slotMovesPerMinute,
        one.rowMovesPerMinute,
        one.keysMovedPercentPerMinute,
        one.loadMovedPercentPerMinute,
        String(one.rows),
        one.planMs,
      ]),
      isMet:
        chosen !== undefined &&
        chosen.meanImbalance <= MAX_IMBALANCE &&
        chosen.keysMovedPercentPerMinute <= MAX_KEYS_MOVED,
    });
  }
}
