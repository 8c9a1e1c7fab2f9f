import type { WitnessState } from '#lease/WitnessState.js';
import type { ModelBudget } from '#model/ModelBudget.js';
import type { ModelCell } from '#model/ModelCell.js';
import type { ModelMessage } from '#model/ModelMessage.js';
import type { ModelProcess } from '#model/ModelProcess.js';

/** State of the model. The current time is always 0; when time passes, all recorded times shift into the past. */
export interface ModelState {
  /** The cell as the store holds it. */
  readonly cell: ModelCell;
  /** Highest version that a writer or reader knows to be accepted. */
  readonly acknowledged: number;
  /** Processes 0 to 2 run servers 0 to 2; process 3 is an earlier run of server 0 that may resume. */
  readonly processes: readonly ModelProcess[];
  readonly witnesses: readonly WitnessState[];
  readonly messages: readonly ModelMessage[];
  readonly budget: ModelBudget;
  /** Token that the caller sends with its request id; 0 before the first attempt. */
  readonly callerToken: number;
  /** How often the one non-repeatable request has run. */
  readonly runs: number;
  /** Whether an acknowledged assignment was overwritten by a writer that had not seen it. */
  readonly hasLostAssignment: boolean;
  /** Whether a process replaced its version of the cell by an older one. */
  readonly hasReverted: boolean;
}
