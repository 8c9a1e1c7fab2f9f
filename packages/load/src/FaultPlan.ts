import type { Fault } from '#load/Fault.js';

/** Faults of one run. */
export type FaultPlan = readonly Fault[];
