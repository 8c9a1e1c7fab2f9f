import t from 'tap';
import { Logger } from '#core/Logger.js';
import { ManualClock } from '#core/ManualClock.js';
import { createRangeTable } from '#ranges/CreateRangeTable.js';
import { defaultLeaseTimings } from '#ranges/DefaultLeaseTimings.js';
import { ElapsedClock } from '#ranges/ElapsedClock.js';
import { listRowsOf } from '#ranges/ListRowsOf.js';
import type { AnnouncementReply } from '#mesh/AnnouncementReply.js';
import { OwnershipTasks } from '#mesh/OwnershipTasks.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';
import { MemoryCollectionStore } from '#standin/MemoryCollectionStore.js';
import { createEntry } from './CreateEntry.js';
import { createView } from './CreateView.js';

const ANNOUNCE_EVERY_MS = 900;

/** Time after which all grants of a former run of the daemon have expired, in milliseconds. */
const INHERITED_MS = 7_500;

/** Longest time until an announcement has its reply, in milliseconds. */
const REPLY_MS = 850;

const servers = [createEntry('a'), createEntry('b')];

/** The tasks that decide ownership beside backend server `a`, which owns half of the keys. */
class UnreachableRun {
  private readonly clock = new ManualClock();
  private readonly store = new MemoryCollectionStore();
  private readonly tasks: OwnershipTasks;
  private sequence = 0;

  public constructor() {
    const { clock, store } = this;
    this.tasks = new OwnershipTasks({
      identity: { serverId: 'a', failureDomain: 'd', region: 'r', service: 's' },
      processId: 'p',
      address: '10.0.0.1:2',
      timings: defaultLeaseTimings,
      announceEveryMs: ANNOUNCE_EVERY_MS,
      store,
      clock,
      elapsed: new ElapsedClock(clock),
      createLogger: () => new Logger('test'),
      isConfigured: () => false,
      onPresence: () => undefined,
      onGranted: () => undefined,
      onFacts: () => undefined,
      call: () => undefined,
    });
  }

  /** Starts the tasks, and lets them grant keys until grants of a former run have expired. */
  public async start(): Promise<void> {
    const owners = servers.map(({ serverId, term, incarnation }) => ({ serverId, term, incarnation }));
    const table = createRangeTable('s', owners);
    const { revision } = this.store.set('ranges', 's', rangeTableCodec.encode(table));
    const view = { ...createView(servers, {}, table), tables: new Map([['s', { table, revision }]]) };
    this.tasks.start();
    this.tasks.applyView(view);
    await this.settle();
    for (let ms = 0; ms <= INHERITED_MS; ms += ANNOUNCE_EVERY_MS) {
      await this.announce();
      await this.advance(ANNOUNCE_EVERY_MS - REPLY_MS);
    }
  }

  public stop(): void {
    this.tasks.stop();
  }

  /** Announces the backend server, and lets the time pass in which the reply may be held back. */
  public async announce(): Promise<AnnouncementReply> {
    this.sequence += 1;
    const announcement = {
      instanceId: 'a',
      bornMs: 1,
      sequence: this.sequence,
      service: 's',
      address: '10.0.0.1:1',
      slots: 4,
      draining: false,
      coldLeftMs: 0,
      holds: [],
      released: [],
    };
    const reply = this.tasks.presence.ask<AnnouncementReply>((each) => ({
      type: 'announced',
      announcement,
      reply: each,
    }));
    await this.advance(REPLY_MS);
    return reply;
  }

  /** Reports a refused connection to the backend server. */
  public async refuse(): Promise<void> {
    this.tasks.presence.post({ type: 'evidence', evidence: { kind: 'refused', incarnation: 'a/1' } });
    await this.settle();
  }

  public async advance(ms: number): Promise<void> {
    const endMs = this.clock.monotonicMs() + ms;
    while (this.clock.monotonicMs() < endMs) {
      this.clock.advance(Math.min(50, endMs - this.clock.monotonicMs()));
      await this.settle();
    }
  }

  /** Whether the stored table still names the backend server as an owner. */
  public get isOwner(): boolean {
    const table = rangeTableCodec.decode(this.store.read('ranges', 's')?.value).unsafeCoerce();
    return listRowsOf(table, 'a').some(({ from }) => from === 0);
  }

  private async settle(): Promise<void> {
    for (let index = 0; index < 30; index += 1) await Promise.resolve();
  }
}

async function startRun(t: { readonly teardown: (close: () => unknown) => void }): Promise<UnreachableRun> {
  const run = new UnreachableRun();
  t.teardown(() => run.stop());
  await run.start();
  return run;
}

t.test('refused connections move no keys while a grant lasts', async (t) => {
  // Guards against two holders: a cut refuses connections to a live server and stops its announcements, too.
  const run = await startRun(t);
  t.match(await run.announce(), { grant: { rows: [{ from: 0 }] } });
  await run.refuse();
  await run.advance(1_900);
  await run.refuse();
  t.ok(run.isOwner, 'no announcement for two intervals, and a second refusal');
  await run.advance(6_000);
  t.notOk(run.isOwner, 'the grant has run out');
});

t.test('refused connections around an announcement move no keys', async (t) => {
  // Guards against moving keys away from a live server that has no listener for a moment.
  const run = await startRun(t);
  await run.refuse();
  await run.refuse();
  await run.advance(1_000);
  t.match(await run.announce(), { grant: { rows: [{ from: 0 }] } });
  await run.advance(1_000);
  await run.refuse();
  t.ok(run.isOwner);
});

t.test('refused connection after a stall of the daemon moves no keys', async (t) => {
  // Guards against taking the server for silent while its announcements wait to be read.
  const run = await startRun(t);
  await run.advance(2_000);
  await run.refuse();
  t.match(await run.announce(), { grant: { rows: [{ from: 0 }] } });
  await run.advance(4_000);
  t.ok(run.isOwner, 'it is in use again');
});
