import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';

/** Context of the chart of the `AdminTask`. */
export interface AdminContext {
  /** Receives the port, or the error that prevented the server from listening. */
  readonly reply: (port: Either<RouterError, number>) => void;
}
