import { Left, Right, type Either } from 'purify-ts';
import { RouterError } from '#core/RouterError.js';
import { ObjectStore } from '#store/ObjectStore.js';
import type { PutRequest } from '#store/PutRequest.js';
import type { PutResult } from '#store/PutResult.js';
import type { StoreObject } from '#store/StoreObject.js';

/** Store in memory that counts reads and fails writes on demand. */
export class FakeStore extends ObjectStore {
  public readonly objects = new Map<string, StoreObject>();
  public reads = 0;
  public refusesWrites = false;

  public override get(name: string): Promise<Either<RouterError, StoreObject | undefined>> {
    this.reads += 1;
    return Promise.resolve(Right(this.objects.get(name)));
  }

  public override put(request: PutRequest): Promise<Either<RouterError, PutResult>> {
    const { name, value, ifVersion, marks } = request;
    if (this.refusesWrites) {
      const fields = {
        code: 'storeUnreachable',
        step: 'store',
        peer: '',
        ran: 'not run',
        status: 503,
      } as const;
      return Promise.resolve(Left(new RouterError(fields, 'refused')));
    }
    const current = this.objects.get(name);
    if ((current?.version ?? 0) !== ifVersion) return Promise.resolve(Right({ type: 'conflict', current }));
    this.objects.set(name, { name, value, marks, version: ifVersion + 1 });
    return Promise.resolve(Right({ type: 'accepted', version: ifVersion + 1 }));
  }

  public override watch(): Promise<Either<RouterError, StoreObject | undefined>> {
    return Promise.resolve(Right(undefined));
  }

  public override hasSpareCalls(): boolean {
    return true;
  }

  public override close(): Promise<void> {
    return Promise.resolve();
  }
}
