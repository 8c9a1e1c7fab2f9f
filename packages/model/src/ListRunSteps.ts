import { mayAct } from '#model/MayAct.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelState } from '#model/ModelState.js';
import type { ModelStep } from '#model/ModelStep.js';
import { spendBudget } from '#model/SpendBudget.js';
import { withProcess } from '#model/WithProcess.js';

/** Lists the runs of the one non-repeatable request, whose caller keeps its id and token for every retry. */
export function listRunSteps(state: ModelState, config: ModelConfig): readonly ModelStep[] {
  if (state.budget.attempts === 0) return [];
  return state.processes.flatMap((process, index) => {
    const { records, view, name } = process;
    const token = state.callerToken === 0 ? view.token : state.callerToken;
    if (records.hasRun || token < records.knownSince || token > view.token) return [];
    if (!mayAct(process, state, config)) return [];
    const next = withProcess(state, index, { records: { ...records, hasRun: true } });
    const label = `${name} runs the request with token ${token}`;
    return [{ label, state: spendBudget({ ...next, callerToken: token, runs: state.runs + 1 }, 'attempts') }];
  });
}
