import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import type { HolderContext } from '#lease/HolderContext.js';

/** State of a holder; `value` is a state of charts/holder.json. */
export type HolderState = ChartSnapshot<HolderContext>;
