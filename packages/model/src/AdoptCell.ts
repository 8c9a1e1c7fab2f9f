import { createFenceState } from '#lease/CreateFenceState.js';
import type { FenceState } from '#lease/FenceState.js';
import { stepFence } from '#lease/StepFence.js';
import type { ModelCell } from '#model/ModelCell.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelFence } from '#model/ModelFence.js';
import type { ModelProcess } from '#model/ModelProcess.js';

/** Only this server has a lease with witnesses; the fences of the others are satisfied when their lease has ended. */
const LEASED_SERVER = 0;

/** Applies an accepted version of the cell; a process that becomes owner begins the fences and takes over the records. */
export function adoptCell(process: ModelProcess, cell: ModelCell, config: ModelConfig): ModelProcess {
  const becomesOwner = cell.owner === process.server && cell.token !== process.view.token;
  if (!becomesOwner) return { ...process, view: cell };
  const knownSince = config.disabledGuard === 'knownSince' ? 1 : cell.token;
  return {
    ...process,
    view: cell,
    releasedToken: 0,
    records: cell.records ?? { knownSince, hasRun: false },
    fences: cell.fences
      .filter(({ server }) => server === LEASED_SERVER)
      .map((fence) => beginFence(fence, config)),
  };
}

function beginFence({ id, epoch, witnessSet }: ModelFence, config: ModelConfig): FenceState {
  const members = (config.witnessSets[witnessSet] ?? []).map(String);
  const witnesses = config.disabledGuard === 'majority' ? members.slice(0, 1) : members;
  const fence = { id, serverId: String(LEASED_SERVER), epoch, witnesses, graceMs: 0 };
  return stepFence(createFenceState(), { type: 'begin', fence, nowMs: 0 }, config.lease).state;
}
