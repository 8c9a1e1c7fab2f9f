import type { WitnessState } from '#lease/WitnessState.js';
import type { ModelCell } from '#model/ModelCell.js';
import type { ModelExchange } from '#model/ModelExchange.js';
import type { ModelProcess } from '#model/ModelProcess.js';
import type { PairMemo } from '#model/PairMemo.js';
import type { PartTable } from '#model/PartTable.js';
import type { ProcessText } from '#model/ProcessText.js';

/** Tables that intern the parts of states and cache exchanges, for one configuration. */
export interface ModelParts {
  readonly witnesses: PartTable<WitnessState, { readonly key: string }>;
  readonly processes: PartTable<ModelProcess, ProcessText>;
  readonly cells: PartTable<ModelCell, { readonly key: string; readonly swapped: string }>;
  /** Results of exchanges that complete without delay: renewals by witness, promises by fence and witness. */
  readonly renewals: PairMemo<ModelProcess, WitnessState, ModelExchange>;
  readonly promises: PairMemo<ModelProcess, WitnessState, ModelExchange>;
}
