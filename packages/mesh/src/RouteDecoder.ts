import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { RouteTable } from '#routes/RouteTable.js';

/** Decodes the routing configuration of a front end. */
export abstract class RouteDecoder {
  /** Decodes the configuration of the given name. The error tells the location of the fault. */
  public abstract decode(name: string, value: unknown): Either<RouterError, RouteTable>;
}
