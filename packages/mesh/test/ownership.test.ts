import t from 'tap';
import { BasicFaults } from './BasicFaults.js';
import { OwnershipRun } from './OwnershipRun.js';

const VMS = 5;
const RUN_MS = 90_000;
const CALM_MS = 6_000;

/** On 33, 60, 65 and 87 a restarted daemon gave inherited keys away after the end of a run that an outdated announcement named. */
const SEEDS = [1, 2, 33, 60, 65, 87];

for (const seed of SEEDS)
  t.test(`no key has two holders, seed ${seed}`, async (t) => {
    const run = new OwnershipRun(seed, VMS, BasicFaults);
    await run.run(RUN_MS, CALM_MS);
    t.same(run.violations.slice(0, 3), []);
    t.ok(run.heldSteps > 10_000, 'keys are held most of the time');
  });
