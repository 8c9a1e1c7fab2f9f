import t from 'tap';
import { BasicFaults } from './BasicFaults.js';
import { BasicRestoreFaults } from './BasicRestoreFaults.js';
import { CutFaults } from './CutFaults.js';
import { HarshFaults } from './HarshFaults.js';
import { LoadFaults } from './LoadFaults.js';
import { OwnershipRun } from './OwnershipRun.js';
import { RestoreFaults } from './RestoreFaults.js';

const VMS = 5;
const RUN_MS = 90_000;
const CALM_MS = 6_000;

/** `minHeld` is the least number of steps, of 18,000, in which keys must be held. */
const PLANS = [
  // With both seeds, splitting a row that is smaller than a bucket of the load measurement did not terminate.
  { name: 'load', Plan: LoadFaults, seeds: [16, 301], minHeld: 10_000 },
  { name: 'basic', Plan: BasicFaults, seeds: [1, 2, 33, 60, 65, 87], minHeld: 10_000 },
  { name: 'harsh', Plan: HarshFaults, seeds: [301, 302], minHeld: 10_000 },
  // While two refused connections counted as the end of a server, each seed had two holders within 27 s.
  { name: 'cut', Plan: CutFaults, seeds: [1, 2, 6], minHeld: 10_000 },
  // Without the token floor or the wait of former owners, seeds 1 and 11 have two holders of a key; seed 33 has two by
  // outdated evidence of what servers hold. Without the rows that holders keep, keys are held for too short a time.
  { name: 'restore', Plan: BasicRestoreFaults, seeds: [1, 11, 33], minHeld: 10_000 },
  // Without the wait of the planner, this seed has two holders. The store is restored 8 times during harsh faults.
  { name: 'harsh restore', Plan: RestoreFaults, seeds: [20], minHeld: 4_000 },
];

for (const { name, Plan, seeds, minHeld } of PLANS)
  for (const seed of seeds)
    t.test(`no key has two holders, ${name} faults, seed ${seed}`, async (t) => {
      const run = new OwnershipRun(seed, VMS, Plan);
      await run.run(RUN_MS, CALM_MS);
      t.same(run.violations.slice(0, 3), []);
      t.ok(run.heldSteps > minHeld, 'keys are held most of the time');
      if (name.includes('restore')) t.ok(run.restores > 2, 'the store was restored');
    });
