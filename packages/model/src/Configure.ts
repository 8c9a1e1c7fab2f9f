import type { ModelBudget } from '#model/ModelBudget.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import { leaseConfigs } from '#model/LeaseConfigs.js';

const EMPTY_BUDGET: ModelBudget = {
  takeovers: 0,
  registrations: 0,
  moves: 0,
  witnessRestarts: 0,
  daemonRestarts: 0,
  delays: 0,
  attempts: 0,
};

/** Returns a configuration with three witnesses and the given faults and changes. */
export function configure(
  name: string,
  budget: Partial<ModelBudget>,
  durations: keyof typeof leaseConfigs = 'long',
): ModelConfig {
  return {
    name,
    lease: leaseConfigs[durations],
    witnessSets: [[0, 1, 2]],
    firstEpoch: 1,
    budget: { ...EMPTY_BUDGET, ...budget },
    disabledGuard: undefined,
  };
}
