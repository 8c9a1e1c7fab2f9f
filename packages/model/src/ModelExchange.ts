import type { WitnessState } from '#lease/WitnessState.js';
import type { ModelProcess } from '#model/ModelProcess.js';

/** A process and a witness after an exchange. `isAnswered` is false if the witness did not reply. */
export interface ModelExchange {
  readonly process: ModelProcess;
  readonly witness: WitnessState;
  readonly isAnswered: boolean;
}
