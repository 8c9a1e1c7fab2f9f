import { mayAct } from '#model/MayAct.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelState } from '#model/ModelState.js';

/** Describes the invariant that the state violates; undefined if all hold. */
export function findViolation(state: ModelState, config: ModelConfig): string | undefined {
  const actors = state.processes.filter((process) => mayAct(process, state, config));
  if (actors.length > 1) return `${actors.map(({ name }) => name).join(' and ')} may act on the shard`;
  if (state.hasLostAssignment) return 'an acknowledged assignment is lost';
  if (state.hasReverted) return 'an applied version reverts';
  if (state.runs > 1) return 'a non-repeatable request runs twice';
  return undefined;
}
