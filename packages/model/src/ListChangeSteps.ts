import { createHolderState } from '#lease/CreateHolderState.js';
import { stepHolder } from '#lease/StepHolder.js';
import { mayAct } from '#model/MayAct.js';
import type { ModelCell } from '#model/ModelCell.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelProcess } from '#model/ModelProcess.js';
import type { ModelState } from '#model/ModelState.js';
import type { ModelStep } from '#model/ModelStep.js';
import { spendBudget } from '#model/SpendBudget.js';
import { withProcess } from '#model/WithProcess.js';

/** Lists the changes of ownership: new epochs, takeovers, planned moves, and restarts of the daemon of server 0. */
export function listChangeSteps(state: ModelState, config: ModelConfig): readonly ModelStep[] {
  return [
    ...listRegistrations(state, config),
    ...listTakeovers(state, config),
    ...listMoves(state, config),
    ...listDaemonRestart(state),
    ...listLeaseEnds(state),
  ];
}

/** Server 0 writes its next epoch, with any of the witness sets, based on the version that it has just read. */
function listRegistrations(state: ModelState, config: ModelConfig): readonly ModelStep[] {
  const process = state.processes[0];
  if (state.budget.registrations === 0 || process?.holder === undefined || process.write !== undefined)
    return [];
  const { holder } = process;
  const startedMs = config.disabledGuard === 'replacement' ? Infinity : 0;
  const registering = stepHolder(holder, { type: 'registering', startedMs }, config.lease).state;
  return config.witnessSets.map((_, witnessSet) => {
    const cell = createRegisteredCell(process, witnessSet, config);
    const write = { kind: 'register', baseVersion: process.view.version, cell, status: 'open' } as const;
    const next = withProcess(state, 0, { holder: clearInfiniteWriteStart(registering), write });
    const label = `S begins to write epoch ${cell.epoch}${config.witnessSets.length > 1 ? ` with witness set ${witnessSet + 1}` : ''}`;
    return { label, state: spendBudget(next, 'registrations') };
  });
}

/** Without the guard `replacement`, the holder does not remember that a write is pending. */
function clearInfiniteWriteStart(
  holder: NonNullable<ModelProcess['holder']>,
): NonNullable<ModelProcess['holder']> {
  if (holder.context.writeStartedMs !== Infinity) return holder;
  return { ...holder, context: { ...holder.context, writeStartedMs: undefined } };
}

/** Registers a new epoch; a restarted daemon that owns the shard also fences its old epoch and takes a new token. */
function createRegisteredCell(
  { view, holder }: ModelProcess,
  witnessSet: number,
  config: ModelConfig,
): ModelCell {
  const version = view.version + 1;
  const next = {
    ...view,
    version,
    epoch: view.epoch + 1,
    witnessSet,
    takenOver: view.takenOver.with(0, false),
  };
  const isRestarted = holder?.context.epoch === 0;
  if (!isRestarted || view.owner !== 0) return next;
  const fence = { id: version, server: 0, epoch: view.epoch, witnessSet: view.witnessSet };
  const fences = config.disabledGuard === 'restartFence' ? view.fences : [...view.fences, fence];
  return { ...next, token: version, records: undefined, fences };
}

/** Any daemon may write a takeover of the current owner at any time, since safety does not depend on suspicion. */
function listTakeovers(state: ModelState, config: ModelConfig): readonly ModelStep[] {
  const { cell } = state;
  if (state.budget.takeovers === 0 || cell.takenOver[cell.owner] === true) return [];
  const targets = cell.takenOver.flatMap((taken, server) => (taken || server === cell.owner ? [] : [server]));
  return targets.map((target) => {
    const version = cell.version + 1;
    const fence = { id: version, server: cell.owner, epoch: cell.epoch, witnessSet: cell.witnessSet };
    const nextCell: ModelCell = {
      ...cell,
      version,
      owner: target,
      token: version,
      fences: config.disabledGuard === 'fencesAdd' ? [fence] : [...cell.fences, fence],
      takenOver: cell.takenOver.with(cell.owner, true),
      records: undefined,
    };
    const label = `takeover of ${getName(state, cell.owner)} by ${getName(state, target)} is written`;
    return { label, state: spendBudget({ ...state, cell: nextCell }, 'takeovers') };
  });
}

function listMoves(state: ModelState, config: ModelConfig): readonly ModelStep[] {
  if (state.budget.moves === 0) return [];
  return state.processes.slice(0, state.cell.takenOver.length).flatMap((process, index) => {
    if (process.write !== undefined || !mayAct(process, state, config)) return [];
    const { view } = process;
    const targets = view.takenOver.flatMap((taken, server) => (taken || server === index ? [] : [server]));
    return targets.map((target) => {
      const version = view.version + 1;
      const cell: ModelCell = {
        ...view,
        version,
        owner: target,
        token: version,
        fences: [],
        records: process.records,
      };
      const write = { kind: 'move', baseVersion: view.version, cell, status: 'open' } as const;
      const releasedToken = config.disabledGuard === 'stopBeforeMove' ? 0 : view.token;
      const next = withProcess(state, index, { write, releasedToken });
      const label = `${process.name} begins to move the shard to ${getName(state, target)}`;
      return { label, state: spendBudget(next, 'moves') };
    });
  });
}

/** Server 0 restarts while its earlier run is paused, which may resume at any time. */
function listDaemonRestart(state: ModelState): readonly ModelStep[] {
  const [process, ...rest] = state.processes;
  if (state.budget.daemonRestarts === 0 || process === undefined) return [];
  const restarted: ModelProcess = {
    ...process,
    holder: createHolderState('0'),
    view: state.cell,
    fences: [],
    releasedToken: 0,
    records: { knownSince: state.cell.token, hasRun: false },
    write: undefined,
  };
  const earlier = { ...process, name: 'earlier run of S' };
  const processes = [restarted, ...rest.slice(0, state.cell.takenOver.length - 1), earlier];
  const messages = state.messages.flatMap((message) =>
    message.process === 0 ? [{ ...message, process: processes.length - 1 }] : [],
  );
  const otherMessages = state.messages.filter(
    (message) => message.process !== 0 && message.process < processes.length - 1,
  );
  const next = { ...state, processes, messages: [...otherMessages, ...messages] };
  return [{ label: 'S restarts', state: spendBudget(next, 'daemonRestarts') }];
}

/** The lease of a server without a modelled holder ends at any time after its takeover. */
function listLeaseEnds(state: ModelState): readonly ModelStep[] {
  return state.processes.flatMap((process, index) => {
    if (process.holder !== undefined || process.isLapsed || state.cell.takenOver[process.server] !== true)
      return [];
    return [
      { label: `the lease of ${process.name} ends`, state: withProcess(state, index, { isLapsed: true }) },
    ];
  });
}

function getName(state: ModelState, server: number): string {
  return state.processes[server]?.name ?? '';
}
