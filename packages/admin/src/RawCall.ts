import type { Either } from 'purify-ts';
import type { AdminError } from '#admin/AdminError.js';

/** An undecoded request to the administration API, independent of the server that received it. */
export interface RawCall {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Value of `Authorization`; empty without one. */
  readonly authorization: string;
  /** Value of `If-Match`; empty without one. */
  readonly ifMatch: string;
  readonly nowMs: number;
  /** Reads the body; called only once the caller is authenticated and permitted. */
  readonly readBody: () => Promise<Either<AdminError, string>>;
}
