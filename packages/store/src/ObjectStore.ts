import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { PutRequest } from '#store/PutRequest.js';
import type { PutResult } from '#store/PutResult.js';
import type { ReadPurpose } from '#store/ReadPurpose.js';
import type { StoreObject } from '#store/StoreObject.js';

/**
 * A store of versioned JSON objects with conditional writes and watches.
 * Errors have the step `store`. Their code is `storeUnreachable`, `storeRefused` or `storeBudgetSpent` if a call had no
 * effect, `storeReplyLost` if a write may have had one, and `storeAnswerInvalid` if an object cannot be decoded.
 */
export abstract class ObjectStore {
  /** Reads an object; undefined if it does not exist. */
  public abstract get(
    name: string,
    purpose?: ReadPurpose,
  ): Promise<Either<RouterError, StoreObject | undefined>>;

  /** Writes an object if it still has the version `ifVersion`. */
  public abstract put(request: PutRequest): Promise<Either<RouterError, PutResult>>;

  /** Waits up to `timeoutMs` milliseconds for a version above `afterVersion`; undefined if there is none by then. */
  public abstract watch(
    name: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<Either<RouterError, StoreObject | undefined>>;

  /** Whether the call budget allows a look-up, beyond the calls reserved for changes. */
  public abstract hasSpareCalls(): boolean;

  /** Closes all connections; pending calls fail. */
  public abstract close(): Promise<void>;
}
