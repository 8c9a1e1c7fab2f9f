import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { PutRequest } from '#store/PutRequest.js';
import type { PutResult } from '#store/PutResult.js';
import type { ReadPurpose } from '#store/ReadPurpose.js';
import type { StoreObject } from '#store/StoreObject.js';

/**
 * A store of versioned JSON objects with conditional updates and watches.
 * Errors have the step `store`; their code is `storeUnreachable` or `storeBudgetSpent` if a call had no effect, and
 * `storeReplyLost` if a write may have had one.
 */
export abstract class ObjectStore {
  /** Reads an object; undefined if it does not exist. */
  public abstract get(
    name: string,
    purpose?: ReadPurpose,
  ): Promise<Either<RouterError, StoreObject | undefined>>;

  /** Writes an object if it still has the version `ifVersion`. */
  public abstract put(request: PutRequest): Promise<Either<RouterError, PutResult>>;

  /** Waits up to `timeoutMs` for a version above `afterVersion`; undefined if there was none. */
  public abstract watch(
    name: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<Either<RouterError, StoreObject | undefined>>;

  /** Whether the call budget has more left than look-ups leave to changes. */
  public abstract hasSpareCalls(): boolean;

  /** Closes connections; waiting calls end with an error. */
  public abstract close(): Promise<void>;
}
