import t from 'tap';
import { CostAwarePolicy } from '#assignment/CostAwarePolicy.js';
import { RendezvousPolicy } from '#assignment/RendezvousPolicy.js';
import { formatMeasurementTable } from '#load/FormatMeasurementTable.js';
import type { ImbalanceScenario } from '#load/ImbalanceScenario.js';
import { runImbalance } from '#load/RunImbalance.js';

const SCENARIO: ImbalanceScenario = {
  members: 6,
  hotKeys: 60,
  exponent: 1,
  hotShare: 0.6,
  requestsPerSecond: 2_000,
  changeEverySeconds: 60,
  durationSeconds: 300,
  smoothingMs: 5_000,
};

t.test('a measurement is reproducible from its seed', (t) => {
  const variant = { name: 'chosen', policy: new CostAwarePolicy(), splitsHotKeys: true };
  const [first, second] = [1, 2].map(() => ({ ...runImbalance(SCENARIO, variant, 3), meanPlanMs: 0 }));
  t.same(first, second);
  t.end();
});

t.test('changing hot keys are balanced better than by hashing', (t) => {
  const hashing = { name: 'hashing', policy: new RendezvousPolicy(), splitsHotKeys: false };
  const chosen = { name: 'chosen', policy: new CostAwarePolicy(), splitsHotKeys: true };
  const base = runImbalance(SCENARIO, hashing, 3).meanImbalance;
  t.ok(runImbalance(SCENARIO, chosen, 3).meanImbalance - 1 < (base - 1) / 2);
  t.end();
});

t.test('columns of a table are aligned', (t) => {
  t.equal(
    formatMeasurementTable(
      ['name', 'x'],
      [
        ['a', 1.5],
        ['long name', 10],
      ],
    ),
    'name           x\na           1.50\nlong name  10.00',
  );
  t.end();
});
