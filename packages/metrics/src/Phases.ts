import type { Phase } from '#metrics/Phase.js';

/** All phases, in the order in which they are reported. */
export const phases: readonly Phase[] = Object.freeze(['queue', 'backend', 'whole', 'deliveredInTime']);
