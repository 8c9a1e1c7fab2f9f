import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import type { WitnessContext } from '#lease/WitnessContext.js';

/** State of a witness; `value` is a state of charts/witness.json. */
export type WitnessState = ChartSnapshot<WitnessContext>;
