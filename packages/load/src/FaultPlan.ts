import type { ScheduledFault } from '#load/ScheduledFault.js';

/** Faults of one run. */
export type FaultPlan = readonly ScheduledFault[];
