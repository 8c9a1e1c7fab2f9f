import { stepHolder } from '#lease/StepHolder.js';
import { adoptCell } from '#model/AdoptCell.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelProcess } from '#model/ModelProcess.js';
import type { ModelState } from '#model/ModelState.js';
import type { ModelStep } from '#model/ModelStep.js';
import type { ModelWrite } from '#model/ModelWrite.js';
import { withProcess } from '#model/WithProcess.js';

/**
 * Lists the results of pending writes and the ways in which processes learn accepted versions. A store outage or a lost
 * reply is a step of this list that does not happen.
 */
export function listStoreSteps(state: ModelState, config: ModelConfig): readonly ModelStep[] {
  return state.processes.flatMap((process, index) => [
    ...listWriteSteps(state, process, index, config),
    ...listAdoptionSteps(state, process, index, config),
  ]);
}

function listWriteSteps(
  state: ModelState,
  process: ModelProcess,
  index: number,
  config: ModelConfig,
): readonly ModelStep[] {
  const { write, name } = process;
  if (write === undefined) return [];
  if (write.status === 'open')
    return [
      {
        label: `the write of ${name} reaches the store`,
        state: applyWrite(state, process, index, write, config),
      },
    ];
  const resolved = {
    label: `${name} learns the result of its write`,
    state: resolveWrite(state, process, index, write, config),
  };
  const guard = write.kind === 'move' ? 'undecidedMove' : 'undecidedRegistration';
  if (write.status !== 'applied' || config.disabledGuard !== guard) return [resolved];
  const refused = resolveWrite(state, process, index, { ...write, status: 'refused' }, config);
  return [resolved, { label: `${name} takes its undecided write for refused`, state: refused }];
}

/** Conditional update: the store accepts a write only if its cell still has the version on which the write is based. */
function applyWrite(
  state: ModelState,
  process: ModelProcess,
  index: number,
  write: ModelWrite,
  config: ModelConfig,
): ModelState {
  const isCurrent = write.baseVersion === state.cell.version;
  const isAccepted = isCurrent || config.disabledGuard === 'conditionalUpdate';
  if (!isAccepted) return withProcess(state, index, { write: { ...write, status: 'refused' } });
  const cell = { ...write.cell, version: state.cell.version + 1 };
  const isLost = state.acknowledged > write.baseVersion && state.cell.token !== process.view.token;
  const applied = withProcess(state, index, { write: { ...write, cell, status: 'applied' } });
  return { ...applied, cell, hasLostAssignment: state.hasLostAssignment || isLost };
}

function resolveWrite(
  state: ModelState,
  process: ModelProcess,
  index: number,
  write: ModelWrite,
  config: ModelConfig,
): ModelState {
  if (write.status === 'refused') {
    const change = write.kind === 'move' ? { releasedToken: 0 } : refuseRegistration(process, config);
    return withProcess(state, index, { ...change, write: undefined });
  }
  const adopted = adoptCell(process, write.cell, config);
  const holder = write.kind === 'register' ? registerHolder(process, write, config) : process.holder;
  const next = withProcess(state, index, { ...adopted, holder, write: undefined });
  return { ...next, acknowledged: Math.max(state.acknowledged, write.cell.version) };
}

function refuseRegistration({ holder }: ModelProcess, config: ModelConfig): Partial<ModelProcess> {
  if (holder === undefined) return {};
  const { state } = stepHolder(holder, { type: 'registrationRefused', nowMs: 0 }, config.lease);
  return { holder: state };
}

function registerHolder(
  { holder }: ModelProcess,
  { cell }: ModelWrite,
  config: ModelConfig,
): ModelProcess['holder'] {
  if (holder === undefined) return undefined;
  const startedMs = holder.context.writeStartedMs ?? -config.lease.leaseMs;
  const witnesses = (config.witnessSets[cell.witnessSet] ?? []).map(String);
  const event = { type: 'registered', epoch: cell.epoch, witnesses, startedMs, nowMs: 0 } as const;
  return stepHolder(holder, event, config.lease).state;
}

function listAdoptionSteps(
  state: ModelState,
  process: ModelProcess,
  index: number,
  config: ModelConfig,
): readonly ModelStep[] {
  if (process.write !== undefined || index >= state.cell.takenOver.length) return [];
  const steps = listVersionRollbacks(state, process, index, config);
  if (state.cell.version <= process.view.version || !changesOwnership(process, state)) return steps;
  const next = withProcess(state, index, adoptCell(process, state.cell, config));
  const learned = { ...next, acknowledged: Math.max(state.acknowledged, state.cell.version) };
  return [...steps, { label: `${process.name} learns version ${state.cell.version}`, state: learned }];
}

/** Servers 1 and 2 learn only versions that give them the shard or take it from them; others have no effect on them. */
function changesOwnership({ server, view }: ModelProcess, { cell }: ModelState): boolean {
  return server === 0 || view.owner === server || cell.owner === server;
}

/** Lists steps in which a process takes an older version from a peer, which the guard `versions` rules out. */
function listVersionRollbacks(
  state: ModelState,
  process: ModelProcess,
  index: number,
  config: ModelConfig,
): readonly ModelStep[] {
  if (config.disabledGuard !== 'versions') return [];
  return state.processes
    .filter(({ view }) => view.version < process.view.version)
    .map(({ name, view }) => ({
      label: `${process.name} takes version ${view.version} from ${name}`,
      state: { ...withProcess(state, index, { view }), hasReverted: true },
    }));
}
