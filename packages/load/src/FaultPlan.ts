import type { ScheduledFault } from '#load/ScheduledFault.js';

/** Faults that are injected in one run. */
export type FaultPlan = readonly ScheduledFault[];
