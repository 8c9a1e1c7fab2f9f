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
    ...listLapses(state),
  ];
}

/** Server 0 writes its next epoch, with any of the witness sets, based on the version that it has just read. */
function listRegistrations(state: ModelState, config: ModelConfig): readonly ModelStep[] {
  const process = state.processes[0];
  if (state.budget.registrations === 0 || process?.holder === undefined || process.write !== undefined)
    return [];
  const { holder } = process;
  const startedMs = config.guardOff === 'replacement' ? Infinity : 0;
  const registering = stepHolder(holder, { type: 'registering', startedMs }, config.lease).state;
  return config.sets.map((_, set) => {
    const cell = registeredCell(process, set, config);
    const write = { kind: 'register', base: process.view.version, cell, status: 'open' } as const;
    const next = withProcess(state, 0, { holder: withoutInfinity(registering), write });
    const label = `S begins to write epoch ${cell.epoch}${config.sets.length > 1 ? ` with witness set ${set + 1}` : ''}`;
    return { label, state: spendBudget(next, 'registrations') };
  });
}

/** Without the rule on replacement, the holder does not remember that a write is open. */
function withoutInfinity(holder: NonNullable<ModelProcess['holder']>): NonNullable<ModelProcess['holder']> {
  if (holder.context.writeStartedMs !== Infinity) return holder;
  return { ...holder, context: { ...holder.context, writeStartedMs: undefined } };
}

/** A restarted daemon that owns the shard fences its old epoch and takes a new token. */
function registeredCell({ view, holder }: ModelProcess, set: number, config: ModelConfig): ModelCell {
  const version = view.version + 1;
  const next = { ...view, version, epoch: view.epoch + 1, set, gone: view.gone.with(0, false) };
  const isRestarted = holder?.context.epoch === 0;
  if (!isRestarted || view.owner !== 0) return next;
  const fence = { id: version, server: 0, epoch: view.epoch, set: view.set };
  const fences = config.guardOff === 'restartFence' ? view.fences : [...view.fences, fence];
  return { ...next, token: version, records: undefined, fences };
}

/** Any daemon may write a takeover of the present owner at any time; suspicion is not needed for safety. */
function listTakeovers(state: ModelState, config: ModelConfig): readonly ModelStep[] {
  const { cell } = state;
  if (state.budget.takeovers === 0 || cell.gone[cell.owner] === true) return [];
  const targets = cell.gone.flatMap((isGone, server) => (isGone || server === cell.owner ? [] : [server]));
  return targets.map((target) => {
    const version = cell.version + 1;
    const fence = { id: version, server: cell.owner, epoch: cell.epoch, set: cell.set };
    const taken: ModelCell = {
      ...cell,
      version,
      owner: target,
      token: version,
      fences: config.guardOff === 'fencesAdd' ? [fence] : [...cell.fences, fence],
      gone: cell.gone.with(cell.owner, true),
      records: undefined,
    };
    const label = `takeover of ${nameOf(state, cell.owner)} by ${nameOf(state, target)} is written`;
    return { label, state: spendBudget({ ...state, cell: taken }, 'takeovers') };
  });
}

function listMoves(state: ModelState, config: ModelConfig): readonly ModelStep[] {
  if (state.budget.moves === 0) return [];
  return state.processes.slice(0, state.cell.gone.length).flatMap((process, index) => {
    if (process.write !== undefined || !mayAct(process, state, config)) return [];
    const { view } = process;
    const targets = view.gone.flatMap((isGone, server) => (isGone || server === index ? [] : [server]));
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
      const write = { kind: 'move', base: view.version, cell, status: 'open' } as const;
      const releasedToken = config.guardOff === 'stopBeforeMove' ? 0 : view.token;
      const next = withProcess(state, index, { write, releasedToken });
      const label = `${process.name} begins to move the shard to ${nameOf(state, target)}`;
      return { label, state: spendBudget(next, 'moves') };
    });
  });
}

/** The earlier run is paused and may return at any time. */
function listDaemonRestart(state: ModelState): readonly ModelStep[] {
  const [process, ...rest] = state.processes;
  if (state.budget.daemonRestarts === 0 || process === undefined) return [];
  const fresh: ModelProcess = {
    ...process,
    holder: createHolderState('0'),
    view: state.cell,
    fences: [],
    releasedToken: 0,
    records: { knownSince: state.cell.token, hasRun: false },
    write: undefined,
  };
  const earlier = { ...process, name: 'earlier run of S' };
  const processes = [fresh, ...rest.slice(0, state.cell.gone.length - 1), earlier];
  const messages = state.messages.flatMap((message) =>
    message.process === 0 ? [{ ...message, process: processes.length - 1 }] : [],
  );
  const others = state.messages.filter(
    (message) => message.process !== 0 && message.process < processes.length - 1,
  );
  const next = { ...state, processes, messages: [...others, ...messages] };
  return [{ label: 'S restarts', state: spendBudget(next, 'daemonRestarts') }];
}

/** The lease of a server without a real holder ends some time after it was taken over. */
function listLapses(state: ModelState): readonly ModelStep[] {
  return state.processes.flatMap((process, index) => {
    if (process.holder !== undefined || process.isLapsed || state.cell.gone[process.server] !== true)
      return [];
    return [
      { label: `the lease of ${process.name} ends`, state: withProcess(state, index, { isLapsed: true }) },
    ];
  });
}

function nameOf(state: ModelState, server: number): string {
  return state.processes[server]?.name ?? '';
}
