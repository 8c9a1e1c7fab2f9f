import { Left, Right, type Either } from 'purify-ts';
import type { Clock } from '#core/Clock.js';
import { RouterError } from '#core/RouterError.js';
import type { CollectionChanges } from '#store/CollectionChanges.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import { CollectionStore } from '#store/CollectionStore.js';
import type { ProbedConnection } from '#store/ProbedConnection.js';
import type { FleetStore } from './FleetStore.js';

type Result<T> = Promise<Either<RouterError, T>>;

const CALL_TIMEOUT_MS = 1_500;

/** A daemon's connections to `FleetStore`, which can be cut in each direction or go silent for good. */
export class FleetStoreLink extends CollectionStore {
  public cut: 'none' | 'toStore' | 'fromStore' = 'none';
  /** Whether watches get no response, as if their connections alone were silent. */
  public stallsWatches = false;
  /** Delay of each reply beyond the usual one, in milliseconds. */
  public lagMs = 0;
  private readonly store: FleetStore;
  private readonly clock: Clock;
  private readonly storeClock: Clock;
  private readonly delayMs: number;
  /** Number of the present connections, and of those that went silent. */
  private generation = 1;
  private silentGeneration = 0;
  private keptGeneration = 1;
  private pending: ReadonlySet<() => void> = new Set();

  /** `clock` belongs to the daemon, which may be frozen; `storeClock` is real time. */
  public constructor(store: FleetStore, clock: Clock, storeClock: Clock, delayMs: number) {
    super();
    this.store = store;
    this.clock = clock;
    this.storeClock = storeClock;
    this.delayMs = delayMs;
  }

  /** Lets the open connections go silent for good, while new ones work. */
  public silence(): void {
    this.silentGeneration = this.generation;
  }

  public override list(collection: string): Result<CollectionListing> {
    return this.call(this.generation, CALL_TIMEOUT_MS, () => Promise.resolve(this.store.list(collection)));
  }

  public override watch(collection: string, revision: number, waitMs: number): Result<CollectionChanges> {
    return this.call(this.generation, waitMs + CALL_TIMEOUT_MS, async () => {
      const changes = await this.store.watch(collection, revision, waitMs);
      if (this.stallsWatches) await new Promise(() => undefined);
      return changes;
    });
  }

  public override probe(connection: ProbedConnection): Result<undefined> {
    const generation = connection === 'new' ? this.generation + 1 : this.keptGeneration;
    return this.call(generation, CALL_TIMEOUT_MS, () => {
      this.store.probe();
      return Promise.resolve(undefined);
    });
  }

  public override replaceConnections(): void {
    this.generation += 1;
    this.keptGeneration = this.generation;
    for (const fail of this.pending) fail();
  }

  public override get(): Result<CollectionItem | undefined> {
    return Promise.reject(new Error('not used'));
  }

  public override put(): Result<CollectionPutResult> {
    return Promise.reject(new Error('not used'));
  }

  public override close(): Promise<void> {
    return Promise.resolve();
  }

  private call<T>(generation: number, timeoutMs: number, carryOut: () => Promise<T>): Result<T> {
    this.store.attempts += 1;
    return new Promise((resolve) => {
      const fail = (): void => {
        this.pending = new Set([...this.pending].filter((each) => each !== fail));
        resolve(Left(createFailure()));
      };
      this.pending = new Set([...this.pending, fail]);
      this.clock.schedule(timeoutMs, fail);
      this.storeClock.schedule(this.delayMs, () => {
        if (this.isCut(generation, 'toStore')) return;
        void carryOut().then((value) => {
          this.storeClock.schedule(this.delayMs + this.lagMs, () => {
            if (this.isCut(generation, 'fromStore')) return;
            this.clock.schedule(0, () => {
              this.pending = new Set([...this.pending].filter((each) => each !== fail));
              resolve(Right(value));
            });
          });
        });
      });
    });
  }

  private isCut(generation: number, direction: 'toStore' | 'fromStore'): boolean {
    return this.store.isDown || this.cut === direction || generation <= this.silentGeneration;
  }
}

function createFailure(): RouterError {
  return new RouterError(
    { code: 'storeUnreachable', step: 'store', peer: 'fleet', ran: 'not run', status: 503 },
    'no response',
  );
}
