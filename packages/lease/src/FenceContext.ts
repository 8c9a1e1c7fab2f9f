import type { FenceTarget } from '#lease/FenceTarget.js';
import type { WitnessPromise } from '#lease/WitnessPromise.js';

/** Data of a new owner that collects promises. */
export interface FenceContext {
  readonly fence: FenceTarget;
  readonly begunAtMs: number;
  readonly promises: readonly WitnessPromise[];
}
