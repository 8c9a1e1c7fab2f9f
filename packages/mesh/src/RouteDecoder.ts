import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { RouteTable } from '#routes/RouteTable.js';

/** Decodes the configuration that a front end's operators write. */
export abstract class RouteDecoder {
  /** The error names the place of the fault. */
  public abstract decode(name: string, value: unknown): Either<RouterError, RouteTable>;
}
