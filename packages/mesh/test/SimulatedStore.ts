import { Left, Right, type Either } from 'purify-ts';
import type { Clock } from '#core/Clock.js';
import { RouterError } from '#core/RouterError.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { CollectionChanges } from '#store/CollectionChanges.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import { CollectionStore } from '#store/CollectionStore.js';
import { StoreVersion } from '#store/StoreVersion.js';
import type { AuditedStore } from './AuditedStore.js';
import type { StorePath } from './StorePath.js';

type Result<T> = Promise<Either<RouterError, T>>;

const MAX_DELAY_MS = 25;
const TIMEOUT_MS = 1_500;

/**
 * Simulates the connection of one daemon to the store: delays calls, loses them, or carries out writes late. Conditions of
 * writes are revisions without the era, as on the wire.
 */
export class SimulatedStore extends CollectionStore {
  public path: StorePath = 'open';
  private readonly writer: string;
  private readonly store: AuditedStore;
  private readonly clock: Clock;
  private readonly storeClock: Clock;
  private readonly random: RandomSource;

  /** `clock` belongs to the daemon `writer`; `storeClock` continues after that daemon was killed. */
  public constructor(
    writer: string,
    store: AuditedStore,
    clock: Clock,
    storeClock: Clock,
    random: RandomSource,
  ) {
    super();
    this.writer = writer;
    this.store = store;
    this.clock = clock;
    this.storeClock = storeClock;
    this.random = random;
  }

  public override list(collection: string): Result<CollectionListing> {
    return this.call(() => this.store.list(collection));
  }

  public override get(collection: string, name: string): Result<CollectionItem | undefined> {
    return this.call(() => this.store.get(collection, name));
  }

  public override watch(): Result<CollectionChanges> {
    return Promise.resolve(this.fail('storeUnreachable'));
  }

  public override async put(
    collection: string,
    name: string,
    value: unknown,
    ifRevision: number,
  ): Result<CollectionPutResult> {
    const era = ifRevision === 0 ? this.guard.era : StoreVersion.eraOf(ifRevision);
    if (this.guard.isInDoubt(this.clock.monotonicMs()) || this.isOutdated(era)) {
      const read = await this.get(collection, name);
      if (read.isLeft()) return Left(read.extract());
      if (this.isOutdated(era)) return Right({ type: 'conflict', current: read.unsafeCoerce() });
    }
    const revision = StoreVersion.revisionOf(ifRevision);
    const put = async (): Result<CollectionPutResult> => {
      const { restores } = this.store;
      const version = revision === 0 ? 0 : StoreVersion.combine(restores, revision);
      const result = await this.store.putAs(this.writer, collection, name, value, version);
      return era === undefined || era === restores ? result : this.fail('storeReplyLost');
    };
    if (this.path === 'late') {
      this.storeClock.schedule(1_000 + this.random.integer(5_000), () => void put());
      return this.timeOut('storeReplyLost');
    }
    if (this.path !== 'mute') return this.call(put, 'storeReplyLost');
    await put();
    return this.timeOut('storeReplyLost');
  }

  public override probe(): Result<undefined> {
    return this.call(() => this.store.probe());
  }

  public override replaceConnections(): void {
    this.store.replaceConnections();
  }

  public override close(): Promise<void> {
    return Promise.resolve();
  }

  private async call<T>(carryOut: () => Result<T>, code = 'storeUnreachable'): Result<T> {
    await this.wait(this.random.integer(MAX_DELAY_MS));
    if (!this.isReachable()) return this.timeOut(code);
    const { restores } = this.store;
    const result = await carryOut();
    await this.wait(this.random.integer(MAX_DELAY_MS));
    if (!this.isReachable()) return this.timeOut(code);
    const named = this.store.namesEra ? restores : undefined;
    return this.noteEra(named, this.clock.monotonicMs()) ? result : this.fail(code);
  }

  private isReachable(): boolean {
    return this.path !== 'cut';
  }

  private async timeOut<T>(code: string): Result<T> {
    await this.wait(TIMEOUT_MS);
    this.guard.noteFailure();
    return this.fail(code);
  }

  private wait(ms: number): Promise<void> {
    return new Promise((resolve) => this.clock.schedule(ms, resolve));
  }

  private fail<T>(code: string): Either<RouterError, T> {
    return Left(
      new RouterError(
        { code, step: 'store', peer: 'simulated', ran: 'not run', status: 503 },
        'store trouble',
      ),
    );
  }
}
