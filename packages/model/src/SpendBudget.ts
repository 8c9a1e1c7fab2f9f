import type { ModelBudget } from '#model/ModelBudget.js';
import type { ModelState } from '#model/ModelState.js';

/** Returns the state with one occurrence of `kind` deducted from its budget. */
export function spendBudget(state: ModelState, kind: keyof ModelBudget): ModelState {
  return { ...state, budget: { ...state.budget, [kind]: state.budget[kind] - 1 } };
}
