import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { StoreMeter } from '#daemon/StoreMeter.js';
import { ObjectStore } from '#store/ObjectStore.js';
import type { PutRequest } from '#store/PutRequest.js';
import type { PutResult } from '#store/PutResult.js';
import type { ReadPurpose } from '#store/ReadPurpose.js';
import type { StoreObject } from '#store/StoreObject.js';

/** Forwards calls to a store and counts them, except calls that the client's own budget keeps from being sent. */
export class MeteredStore extends ObjectStore {
  public constructor(
    private readonly store: ObjectStore,
    private readonly meter: StoreMeter,
  ) {
    super();
  }

  public override get(
    name: string,
    purpose?: ReadPurpose,
  ): Promise<Either<RouterError, StoreObject | undefined>> {
    return this.count(this.store.get(name, purpose));
  }

  public override put(request: PutRequest): Promise<Either<RouterError, PutResult>> {
    return this.count(this.store.put(request));
  }

  public override watch(
    name: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<Either<RouterError, StoreObject | undefined>> {
    return this.count(this.store.watch(name, afterVersion, timeoutMs));
  }

  public override hasSpareCalls(): boolean {
    return this.store.hasSpareCalls();
  }

  public override close(): Promise<void> {
    return this.store.close();
  }

  private async count<T>(call: Promise<Either<RouterError, T>>): Promise<Either<RouterError, T>> {
    const result = await call;
    const code = result
      .swap()
      .map((err) => err.fields.code)
      .orDefault('');
    if (code === 'storeBudgetSpent') return result;
    this.meter.noteCall(result.isRight());
    return result;
  }
}
