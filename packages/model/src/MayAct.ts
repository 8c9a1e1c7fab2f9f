import { isLeaseValid } from '#lease/IsLeaseValid.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelFence } from '#model/ModelFence.js';
import type { ModelProcess } from '#model/ModelProcess.js';
import type { ModelState } from '#model/ModelState.js';

/** Returns whether the process may act on the shard now. */
export function mayAct(process: ModelProcess, state: ModelState, config: ModelConfig): boolean {
  const { view, server, releasedToken } = process;
  if (view.owner !== server || releasedToken === view.token) return false;
  if (!view.fences.every((fence) => isSatisfied(process, fence, state))) return false;
  return config.disabledGuard === 'leaseCheck' || hasLease(process);
}

/** A fence of a server without a modelled holder is satisfied when the lease of that server has ended. */
function isSatisfied(process: ModelProcess, fence: ModelFence, state: ModelState): boolean {
  if (fence.server !== 0) return state.processes[fence.server]?.isLapsed === true;
  return process.fences.some(({ value, context }) => context.fence.id === fence.id && value === 'satisfied');
}

function hasLease({ holder, isLapsed }: ModelProcess): boolean {
  return holder === undefined ? !isLapsed : isLeaseValid(holder, 0);
}
