import t from 'tap';
import { BasicFaults } from './BasicFaults.js';
import { BasicRestoreFaults } from './BasicRestoreFaults.js';
import { HarshFaults } from './HarshFaults.js';
import { LoadFaults } from './LoadFaults.js';
import { OwnershipRun } from './OwnershipRun.js';
import { RestoreFaults } from './RestoreFaults.js';

const VMS = 5;
const RUN_MS = 90_000;
const CALM_MS = 6_000;

const PLANS = [
  // With both seeds, splitting a row that is smaller than a bucket of the load measurement did not terminate.
  { name: 'load', Plan: LoadFaults, seeds: [16, 301] },
  { name: 'basic', Plan: BasicFaults, seeds: [1, 2, 33, 60, 65, 87] },
  { name: 'harsh', Plan: HarshFaults, seeds: [301, 302] },
];

for (const { name, Plan, seeds } of PLANS)
  for (const seed of seeds)
    t.test(`no key has two holders, ${name} faults, seed ${seed}`, async (t) => {
      const run = new OwnershipRun(seed, VMS, Plan);
      await run.run(RUN_MS, CALM_MS);
      t.same(run.violations.slice(0, 3), []);
      t.ok(run.heldSteps > 10_000, 'keys are held most of the time');
    });
