import { createFenceState } from '#lease/CreateFenceState.js';
import type { FenceState } from '#lease/FenceState.js';
import { stepFence } from '#lease/StepFence.js';
import type { ModelCell } from '#model/ModelCell.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelFence } from '#model/ModelFence.js';
import type { ModelProcess } from '#model/ModelProcess.js';

/** Server whose lease is real; the fences of the others are satisfied when their lease has ended. */
const REAL_SERVER = 0;

/** Applies an accepted version of the cell: a new owner begins the fences and takes over the records. */
export function adoptCell(process: ModelProcess, cell: ModelCell, config: ModelConfig): ModelProcess {
  const isNewOwner = cell.owner === process.server && cell.token !== process.view.token;
  if (!isNewOwner) return { ...process, view: cell };
  const knownSince = config.guardOff === 'knownSince' ? 1 : cell.token;
  return {
    ...process,
    view: cell,
    releasedToken: 0,
    records: cell.records ?? { knownSince, hasRun: false },
    fences: cell.fences
      .filter(({ server }) => server === REAL_SERVER)
      .map((fence) => beginFence(fence, config)),
  };
}

function beginFence({ id, epoch, set }: ModelFence, config: ModelConfig): FenceState {
  const all = (config.sets[set] ?? []).map(String);
  const witnesses = config.guardOff === 'majority' ? all.slice(0, 1) : all;
  const fence = { id, serverId: String(REAL_SERVER), epoch, witnesses, graceMs: 0 };
  return stepFence(createFenceState(), { type: 'begin', fence, nowMs: 0 }, config.lease).state;
}
