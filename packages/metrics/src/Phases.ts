import type { Phase } from '#metrics/Phase.js';

/** All phases, in the order of a request. */
export const phases: readonly Phase[] = Object.freeze(['queue', 'backend', 'whole', 'deliveredInTime']);
