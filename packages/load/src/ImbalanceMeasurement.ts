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

const CHOSEN_VARIANT = 'cost-aware, key rows';

const VARIANTS: readonly ImbalanceVariant[] = [
  { name: 'hashing alone', policy: new RendezvousPolicy(), splitsHotKeys: false },
  { name: 'greedy', policy: new GreedyPolicy(), splitsHotKeys: false },
  { name: 'greedy, key rows', policy: new GreedyPolicy(), splitsHotKeys: true },
  { name: 'cost-aware', policy: new CostAwarePolicy(), splitsHotKeys: false },
  { name: CHOSEN_VARIANT, policy: new CostAwarePolicy(), splitsHotKeys: true },
];

const MAX_IMBALANCE = 1.25;
const MAX_KEYS_MOVED_PERCENT = 2;

/** Measures load imbalance and key churn at present deployment sizes; all hot keys are replaced every 2 minutes. */
export class ImbalanceMeasurement extends Measurement {
  public override readonly name: string = 'imbalance';
  public override readonly baseline: string = 'hashing alone';
  public override readonly target: string =
    `${CHOSEN_VARIANT}: ratio of the highest to the mean load of a member at most ${MAX_IMBALANCE} on average, ` +
    `at most ${MAX_KEYS_MOVED_PERCENT} % of all keys moved per minute`;

  public override run(seed: number): Promise<MeasurementResult> {
    const figures = VARIANTS.map((variant) => ({
      name: variant.name,
      ...runImbalance(SCENARIO, variant, seed),
    }));
    const base = figures.find(({ name }) => name === this.baseline)?.meanImbalance ?? 1;
    const chosen = figures.find(({ name }) => name === CHOSEN_VARIANT);
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
      rows: figures.map((figure) => [
        figure.name,
        figure.meanImbalance,
        figure.p95Imbalance,
        figure.maxImbalance,
        (figure.meanImbalance - 1) / (base - 1),
        figure.slotMovesPerMinute,
        figure.hotKeyMovesPerMinute,
        figure.keysMovedPercentPerMinute,
        figure.loadMovedPercentPerMinute,
        String(figure.hotKeyShards),
        figure.meanPlanMs,
      ]),
      isMet:
        chosen !== undefined &&
        chosen.meanImbalance <= MAX_IMBALANCE &&
        chosen.keysMovedPercentPerMinute <= MAX_KEYS_MOVED_PERCENT,
    });
  }
}
