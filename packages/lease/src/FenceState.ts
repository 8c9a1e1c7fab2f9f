import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import type { FenceContext } from '#lease/FenceContext.js';

/** State of a fence at the new owner; `value` is a state of charts/fence.json, `satisfied` the last one. */
export type FenceState = ChartSnapshot<FenceContext>;
