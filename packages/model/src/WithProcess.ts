import type { ModelProcess } from '#model/ModelProcess.js';
import type { ModelState } from '#model/ModelState.js';

/** Returns the state with some fields of one process replaced. */
export function withProcess(state: ModelState, index: number, change: Partial<ModelProcess>): ModelState {
  const processes = state.processes.map((process, other) =>
    other === index ? { ...process, ...change } : process,
  );
  return { ...state, processes };
}
