import { createWitnessState } from '#lease/CreateWitnessState.js';
import { stepWitness } from '#lease/StepWitness.js';
import type { WitnessState } from '#lease/WitnessState.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelProcess } from '#model/ModelProcess.js';
import type { ModelState } from '#model/ModelState.js';
import type { ModelStep } from '#model/ModelStep.js';
import { spendBudget } from '#model/SpendBudget.js';
import { withoutNonce } from '#model/WithoutNonce.js';

const SERVER_ID = '0';

/** Lists restarts of witnesses, and steps in which a witness stops watching a server whose fence is satisfied. */
export function listWitnessSteps(state: ModelState, config: ModelConfig): readonly ModelStep[] {
  return state.witnesses.flatMap((witness, index) => [
    ...listRestartSteps(state, witness, index, config),
    ...listForgetSteps(state, witness, index, config),
  ]);
}

function listRestartSteps(
  state: ModelState,
  witness: WitnessState,
  index: number,
  config: ModelConfig,
): readonly ModelStep[] {
  if (state.budget.witnessRestarts === 0) return [];
  const nonce = config.disabledGuard === 'nonce' ? witness.context.nonce : `n${state.budget.witnessRestarts}`;
  const { state: started } = stepWitness(
    createWitnessState(),
    { type: 'started', nowMs: 0, nonce },
    config.lease,
  );
  const witnesses = state.witnesses.with(index, started);
  const processes =
    config.disabledGuard === 'nonce'
      ? state.processes
      : state.processes.map((process) => invalidateNonce(process, String(index)));
  const next = spendBudget({ ...state, witnesses, processes }, 'witnessRestarts');
  return [{ label: `w${index + 1} restarts`, state: next }];
}

function invalidateNonce(process: ModelProcess, witness: string): ModelProcess {
  const { holder } = process;
  const link = holder?.context.links.find((other) => other.witness === witness);
  if (holder === undefined || link === undefined || link.nonce === '') return process;
  return { ...process, holder: withoutNonce(holder, witness) };
}

function listForgetSteps(
  state: ModelState,
  witness: WitnessState,
  index: number,
  config: ModelConfig,
): readonly ModelStep[] {
  const { epoch } = state.cell;
  const hasSatisfiedFence = state.processes.some(({ fences }) =>
    fences.some(({ value, context }) => value === 'satisfied' && context.fence.epoch === epoch),
  );
  const record = witness.context.records.get(SERVER_ID);
  if (state.cell.takenOver[0] !== true || !hasSatisfiedFence || record === undefined) return [];
  if (record.promisedEpoch >= epoch && config.disabledGuard !== 'forgetKeepsPromise') return [];
  const next =
    config.disabledGuard === 'forgetKeepsPromise'
      ? { ...witness, context: { ...witness.context, records: new Map() } }
      : stepWitness(witness, { type: 'forget', serverId: SERVER_ID, epoch, nowMs: 0 }, config.lease).state;
  return [
    {
      label: `w${index + 1} stops watching S`,
      state: { ...state, witnesses: state.witnesses.with(index, next) },
    },
  ];
}
