import fc from 'fast-check';
import type { ScheduledFault } from '#load/ScheduledFault.js';
import type { FaultName } from '#load/FaultName.js';
import type { FaultPlan } from '#load/FaultPlan.js';

const MAX_FAULTS = 3;
/** Latest start of a fault after the start of the load. */
const MAX_START_MS = 3000;
/** Durations range from less than a lease of the fault fleet to several times its length. */
const MIN_DURATION_MS = 400;
const MAX_DURATION_MS = 3000;
/** A name that is listed twice is drawn twice as often. */
const FAULT_NAMES: readonly FaultName[] = [
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

/** Creates a generator of plans of one to three faults; in half of the plans, the first two start at the same time. */
function createPlanArbitrary(instanceCount: number): fc.Arbitrary<FaultPlan> {
  const fault: fc.Arbitrary<ScheduledFault> = fc.record({
    name: fc.constantFrom(...FAULT_NAMES),
    atMs: fc.integer({ min: 0, max: MAX_START_MS }),
    durationMs: fc.integer({ min: MIN_DURATION_MS, max: MAX_DURATION_MS }),
    instanceRank: fc.nat({ max: instanceCount - 1 }),
  });
  const faults = fc.array(fault, { minLength: 1, maxLength: MAX_FAULTS, size: 'max' });
  return fc.tuple(faults, fc.boolean()).map(([plan, startsTogether]) => {
    const [first] = plan;
    return plan.map((each, index) =>
      startsTogether && index === 1 && first !== undefined ? { ...each, atMs: first.atMs } : each,
    );
  });
}

/** Creates the plan that a seed determines. */
export function createFaultPlan(seed: number, instanceCount: number): FaultPlan {
  const [plan = []] = fc.sample(createPlanArbitrary(instanceCount), { seed, numRuns: 1 });
  return plan;
}
