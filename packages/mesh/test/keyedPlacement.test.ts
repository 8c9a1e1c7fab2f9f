import t from 'tap';
import type { KeyedOutcome } from './KeyedOutcome.js';
import type { KeyedSettings } from './KeyedSettings.js';
import { KeyedSimulation } from './KeyedSimulation.js';

const SETTINGS: KeyedSettings = {
  seed: 1,
  owners: 28,
  slots: 6,
  speeds: [0.5, 1.5],
  utilization: 0.5,
  hotKey: 0.02,
  nearHotKey: 0.3,
  hotMs: 8_000,
  durationMs: 32_000,
};

const SEEDS = [1, 2, 3];

function runAll(
  t: { readonly comment: (text: string) => void },
  change: Partial<KeyedSettings>,
): readonly KeyedOutcome[] {
  return SEEDS.map((seed) => {
    const outcome = new KeyedSimulation({ ...SETTINGS, ...change, seed }).run();
    t.comment(JSON.stringify(outcome));
    return outcome;
  });
}

function average(outcomes: readonly KeyedOutcome[], value: (outcome: KeyedOutcome) => number): number {
  return outcomes.reduce((sum, outcome) => sum + value(outcome), 0) / outcomes.length;
}

t.test('hot spot that wanders is spread early', (t) => {
  // Keys moved only after requests had waited, and an excess that was divided among many owners did not move at all.
  const outcomes = runAll(t, {});
  t.ok(average(outcomes, ({ late }) => late) < 0.011, 'long waits');
  t.ok(average(outcomes, ({ busiest }) => busiest) < 2.2, 'busiest owner');
  t.ok(average(outcomes, ({ moving }) => moving) < 0.02, 'requests for keys on the move');
  t.ok(average(outcomes, ({ moves }) => moves) < 110, 'moves');
  t.ok(average(outcomes, ({ received }) => received) < 0.3, 'load that one owner receives at once');
  t.end();
});

t.test('even demand moves few keys', (t) => {
  // The load of a second varies by chance; moving keys for that costs more than it gains.
  for (const utilization of [0.5, 0.7]) {
    const outcomes = runAll(t, { hotKey: 0, nearHotKey: 0, utilization });
    t.ok(average(outcomes, ({ movedKeys }) => movedKeys) < 0.2, `${utilization}: moved keys`);
    t.ok(average(outcomes, ({ moving }) => moving) < 0.003, `${utilization}: requests for keys on the move`);
    t.ok(average(outcomes, ({ late }) => late) < 0.001, `${utilization}: long waits`);
  }
  t.end();
});

t.test('more demand than capacity moves few keys', (t) => {
  // Moves between overloaded owners gain little, and each of them writes the table.
  const outcomes = runAll(t, { hotKey: 0, nearHotKey: 0, utilization: 1.1 });
  t.ok(average(outcomes, ({ rounds }) => rounds) < 60, 'rounds');
  t.ok(average(outcomes, ({ surveys }) => surveys) < 800, 'surveys');
  t.ok(average(outcomes, ({ busiest }) => busiest) < 1.4, 'busiest owner');
  t.ok(average(outcomes, ({ rows }) => rows) < 150, 'rows of the table');
  t.end();
});
