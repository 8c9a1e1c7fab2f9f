import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';

/** State of the `AdminTask` besides the state of its chart. */
export interface AdminContext {
  /** Where the port is reported to once the server listens. */
  readonly reply: (port: Either<RouterError, number>) => void;
}
