import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelExchange } from '#model/ModelExchange.js';
import type { ModelState } from '#model/ModelState.js';
import { partsOf } from '#model/PartsOf.js';

/** Returns the two parts that an exchange changed, or undefined if the witness did not answer. */
export function internExchange(
  state: ModelState | undefined,
  index: number,
  witnessIndex: number,
  config: ModelConfig,
): ModelExchange | undefined {
  const process = state?.processes[index];
  const witness = state?.witnesses[witnessIndex];
  if (process === undefined || witness === undefined) return undefined;
  const parts = partsOf(config);
  return {
    process: parts.processes.intern(process),
    witness: parts.witnesses.intern(witness),
    isAnswered: true,
  };
}
