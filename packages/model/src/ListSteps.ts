import { listChangeSteps } from '#model/ListChangeSteps.js';
import { listFenceSteps } from '#model/ListFenceSteps.js';
import { listRenewSteps } from '#model/ListRenewSteps.js';
import { listRunSteps } from '#model/ListRunSteps.js';
import { listStoreSteps } from '#model/ListStoreSteps.js';
import { listWitnessSteps } from '#model/ListWitnessSteps.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelState } from '#model/ModelState.js';
import type { ModelStep } from '#model/ModelStep.js';
import { normalizeState } from '#model/NormalizeState.js';
import { shiftTime } from '#model/ShiftTime.js';

/** Lists every transition from a state. */
export function listSteps(state: ModelState, config: ModelConfig): readonly ModelStep[] {
  const steps: readonly ModelStep[] = [
    { label: 'time passes', state: shiftTime(state, config) },
    ...listRenewSteps(state, config),
    ...listWitnessSteps(state, config),
    ...listFenceSteps(state, config),
    ...listStoreSteps(state, config),
    ...listChangeSteps(state, config),
    ...listRunSteps(state, config),
  ];
  return steps.map(({ label, state: next }) => ({ label, state: normalizeState(next, config) }));
}
