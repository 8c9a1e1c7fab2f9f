import { Logger } from '#core/Logger.js';
import { ManualClock } from '#core/ManualClock.js';
import { defaultLeaseTimings } from '#ranges/DefaultLeaseTimings.js';
import { ElapsedClock } from '#ranges/ElapsedClock.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import type { Grant } from '#mesh/Grant.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import type { LeaseReport } from '#mesh/LeaseReport.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';
import { RangeTask } from '#mesh/RangeTask.js';
import type { ReleasedRow } from '#mesh/ReleasedRow.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { UnreachableServer } from '#mesh/UnreachableServer.js';
import { MemoryCollectionStore } from '#standin/MemoryCollectionStore.js';
import { createView } from './CreateView.js';

/** Upper bound of the time for which a reply is held back, in milliseconds. */
const MAX_HOLD_MS = 900;

/** A `RangeTask` of server `a` with a store in memory. */
export class RangeRun {
  public readonly clock = new ManualClock();
  public readonly store = new MemoryCollectionStore();
  public readonly task: RangeTask;
  public served: readonly KeyRange[] = [];
  public facts: LeaseReport | undefined;
  public unreachable: UnreachableServer | undefined;
  private readonly elapsed = new ElapsedClock(this.clock);

  public constructor() {
    this.task = new RangeTask({
      identity: { serverId: 'a', failureDomain: 'd', region: 'r', service: 's' },
      timings: defaultLeaseTimings,
      announceEveryMs: 900,
      store: this.store,
      clock: this.clock,
      elapsed: this.elapsed,
      logger: new Logger('test'),
      onGranted: ({ expected }) => {
        this.served = expected;
      },
      onUnreachable: (server) => {
        this.unreachable = server;
      },
      onKeyed: () => undefined,
      onFacts: (facts) => {
        this.facts = facts;
      },
    });
  }

  /** Grants the task a lease of `term` that expires in `leftMs` and was renewed in `era`. */
  public async lease(term: number, leftMs = 12_000, era = 0): Promise<void> {
    this.task.post({ type: 'lease', lease: { term, untilMs: this.elapsed.nowMs() + leftMs, era } });
    await this.settle();
  }

  public async view(
    servers: readonly ServerEntry[],
    table?: RangeTable,
    out: readonly string[] = [],
  ): Promise<void> {
    const view = createView(servers, {}, undefined, true);
    const item =
      table === undefined ? undefined : this.store.set('ranges', 's', rangeTableCodec.encode(table));
    const tables =
      table === undefined || item === undefined
        ? new Map()
        : new Map([['s', { table, revision: item.revision }]]);
    this.task.post({ type: 'view', view: { ...view, tables, evacuated: new Set(out) } });
    await this.settle();
  }

  /** Sends a check-in and returns the reply, or `held` if none comes within the maximum hold time. */
  public async checkIn(
    holds: readonly HeldRow[],
    released: readonly ReleasedRow[] = [],
    incarnation = 'a/1',
    leaving = false,
  ): Promise<Grant | undefined | 'held'> {
    const replies = await this.sendCheckIn(holds, released, incarnation, leaving);
    if (replies.length === 0) await this.advance(MAX_HOLD_MS);
    return replies.length === 0 ? 'held' : replies[0];
  }

  /** Sends a check-in and returns the list to which its reply is added. */
  public async sendCheckIn(
    holds: readonly HeldRow[],
    released: readonly ReleasedRow[] = [],
    incarnation = 'a/1',
    leaving = false,
  ): Promise<readonly (Grant | undefined)[]> {
    const replies: (Grant | undefined)[] = [];
    this.task.post({
      type: 'checkIn',
      checkIn: { incarnation, holds, released, leaving, slots: 4, reply: (grant) => replies.push(grant) },
    });
    await this.settle();
    return replies;
  }

  public async advance(ms: number): Promise<void> {
    this.clock.advance(ms);
    await this.settle();
  }

  /** Returns the stored table. */
  public table(): RangeTable {
    return rangeTableCodec.decode(this.store.read('ranges', 's')?.value).unsafeCoerce();
  }

  public async settle(): Promise<void> {
    for (let index = 0; index < 20; index += 1) await Promise.resolve();
  }
}
