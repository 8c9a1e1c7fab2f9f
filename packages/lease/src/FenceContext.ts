import type { FenceTarget } from '#lease/FenceTarget.js';
import type { WitnessPromise } from '#lease/WitnessPromise.js';

/** The fence that a new owner must satisfy, and the promises that it has collected for it. */
export interface FenceContext {
  readonly fence: FenceTarget;
  readonly begunAtMs: number;
  readonly promises: readonly WitnessPromise[];
}
