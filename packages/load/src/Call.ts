import type { LoadClass } from '#load/LoadClass.js';

/** One request of the load, with all its attempts. */
export interface Call {
  /** Unique within a run; also the value of `idempotency-key`. */
  readonly requestId: string;
  readonly part: LoadClass;
  /** Empty for services without keys. */
  readonly key: string;
  /** Intended send time on the monotonic clock, in milliseconds. */
  readonly intendedMs: number;
  /** Number of the present attempt, from 1. */
  readonly attempt: number;
  /** Value of `amr-epoch`; empty before it is known. */
  readonly epoch: string;
  /** Base URL of the present attempt. */
  readonly target: string;
}
