import type { Either } from 'purify-ts';
import type { AdminError } from '#admin/AdminError.js';

/** A request to the administration API before authentication and decoding, independent of the HTTP server. */
export interface RawCall {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Value of the header `Authorization`; empty if it is missing. */
  readonly authorization: string;
  /** Value of the header `If-Match`; empty if it is missing. */
  readonly ifMatch: string;
  /** Wall-clock time of arrival, in milliseconds since the Unix epoch. */
  readonly nowMs: number;
  /** Reads the body; called only after the caller was authenticated and its access checked. */
  readonly readBody: () => Promise<Either<AdminError, string>>;
}
