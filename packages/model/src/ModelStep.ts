import type { ModelState } from '#model/ModelState.js';

/** One transition of the model, named for the trace. */
export interface ModelStep {
  readonly label: string;
  readonly state: ModelState;
}
