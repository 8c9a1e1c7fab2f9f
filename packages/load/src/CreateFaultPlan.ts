import fc from 'fast-check';
import type { ScheduledFault } from '#load/ScheduledFault.js';
import type { FaultName } from '#load/FaultName.js';
import type { FaultPlan } from '#load/FaultPlan.js';

const MAX_FAULTS = 3;
/** Faults start within this time of the load. */
const LAST_START_MS = 3000;
/** Shorter than a lease of the fault fleet up to several times as long. */
const MIN_DURATION_MS = 400;
const MAX_DURATION_MS = 3000;
const NAMES: readonly FaultName[] = [
  'killDaemon',
  'killBackend',
  'killVm',
  'freezeDaemon',
  'freezeDaemon',
  'loseDomain',
  'storeDown',
  'storeSlow',
  'loseReplies',
];

/** Creates the generator of plans of one to three faults; half of the plans start two of them at once. */
function createArbitrary(instanceCount: number): fc.Arbitrary<FaultPlan> {
  const fault: fc.Arbitrary<ScheduledFault> = fc.record({
    name: fc.constantFrom(...NAMES),
    atMs: fc.integer({ min: 0, max: LAST_START_MS }),
    durationMs: fc.integer({ min: MIN_DURATION_MS, max: MAX_DURATION_MS }),
    instance: fc.nat({ max: instanceCount - 1 }),
  });
  const faults = fc.array(fault, { minLength: 1, maxLength: MAX_FAULTS, size: 'max' });
  return fc.tuple(faults, fc.boolean()).map(([plan, isAtOnce]) => {
    const [first] = plan;
    return plan.map((each, index) =>
      isAtOnce && index === 1 && first !== undefined ? { ...each, atMs: first.atMs } : each,
    );
  });
}

/** Creates the plan of a seed. */
export function createFaultPlan(seed: number, instanceCount: number): FaultPlan {
  const [plan = []] = fc.sample(createArbitrary(instanceCount), { seed, numRuns: 1 });
  return plan;
}
