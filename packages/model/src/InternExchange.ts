import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelExchange } from '#model/ModelExchange.js';
import type { ModelState } from '#model/ModelState.js';
import { getModelParts } from '#model/GetModelParts.js';

/** Returns the process and the witness after an exchange, or undefined if the witness did not reply. */
export function internExchange(
  state: ModelState | undefined,
  processIndex: number,
  witnessIndex: number,
  config: ModelConfig,
): ModelExchange | undefined {
  const process = state?.processes[processIndex];
  const witness = state?.witnesses[witnessIndex];
  if (process === undefined || witness === undefined) return undefined;
  const parts = getModelParts(config);
  return {
    process: parts.processes.intern(process),
    witness: parts.witnesses.intern(witness),
    isAnswered: true,
  };
}
