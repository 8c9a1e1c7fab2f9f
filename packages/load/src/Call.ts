import type { LoadClass } from '#load/LoadClass.js';

/** One request of the load, as of its current attempt. */
export interface Call {
  /** Unique within a run; also sent as `idempotency-key` if the request may not be repeated. */
  readonly requestId: string;
  readonly loadClass: LoadClass;
  /** Empty for services without keys. */
  readonly key: string;
  /** Intended send time on the monotonic clock, in milliseconds. */
  readonly intendedMs: number;
  /** Number of the current attempt, from 1. */
  readonly attempt: number;
  /** Value of `amr-epoch`; empty until a response has reported it. */
  readonly epoch: string;
  /** Base URL to which the current attempt is sent. */
  readonly target: string;
}
