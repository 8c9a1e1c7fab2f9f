import type { ModelState } from '#model/ModelState.js';

/** A transition of the model, with its label in a trace. */
export interface ModelStep {
  readonly label: string;
  readonly state: ModelState;
}
