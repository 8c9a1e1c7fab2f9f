import t from 'tap';
import { Logger } from '#core/Logger.js';
import { ManualClock } from '#core/ManualClock.js';
import { createRangeTable } from '#ranges/CreateRangeTable.js';
import { defaultLeaseTimings } from '#ranges/DefaultLeaseTimings.js';
import { listRowsOf } from '#ranges/ListRowsOf.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import type { LeaseRecord } from '#mesh/LeaseRecord.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';
import { PlannerTask } from '#mesh/PlannerTask.js';
import { MemoryCollectionStore } from '#standin/MemoryCollectionStore.js';
import { createEntry } from './CreateEntry.js';
import { createView } from './CreateView.js';

const servers = [createEntry('a'), createEntry('b')];
const table = createRangeTable(
  's',
  servers.map(({ serverId, term, incarnation }) => ({ serverId, term, incarnation })),
);

function lease(serverId: string, change: Partial<LeaseRecord> = {}): LeaseRecord {
  return {
    serverId,
    service: 's',
    processId: `p-${serverId}`,
    term: 1,
    revoked: false,
    renewal: 0,
    incarnation: `${serverId}/1`,
    workMsPerSecond: 0,
    slots: 4,
    accepts: true,
    ...change,
  };
}

/** A `PlannerTask` of server `a`, with leases of `a` and `b` in the store. */
class PlannerRun {
  public readonly store = new MemoryCollectionStore();
  public readonly clock = new ManualClock();
  public readonly task: PlannerTask;
  /** Methods called at other daemons. */
  public readonly calls: string[] = [];
  private renewals = 0;

  /** `reply` is the answer of the daemon of `a` to a ping. */
  public constructor(ownId = 'a', reply?: unknown) {
    this.task = new PlannerTask({
      place: { serverId: ownId, failureDomain: 'd', region: 'r', service: 's' },
      terms: defaultLeaseTimings,
      store: this.store,
      clock: this.clock,
      logger: new Logger('test'),
      call: (_address, method, _params, answer) => {
        this.calls.push(method);
        answer(reply);
      },
    });
    this.showTable(table);
    for (const id of ['a', 'b']) this.store.set('leases', id, lease(id));
  }

  /** Lets time pass while the servers named renew their leases. */
  public async pass(ms: number, renewing: readonly string[]): Promise<void> {
    for (let passed = 0; passed < ms; passed += 500) {
      if (passed % 3_000 === 0) for (const id of renewing) this.renew(id);
      this.clock.advance(500);
      for (let index = 0; index < 20; index += 1) await Promise.resolve();
    }
  }

  private renew(id: string): void {
    this.renewals += 1;
    this.store.set('leases', id, lease(id, { renewal: this.renewals }));
  }

  public showTable(shown: RangeTable): void {
    this.store.set('ranges', 's', rangeTableCodec.encode(shown));
    this.showStored();
  }

  /** Shows the table as it is in the store. */
  public showStored(): void {
    const { value, revision } = this.store.read('ranges', 's')!;
    const shown = rangeTableCodec.decode(value).unsafeCoerce();
    const tables = new Map([['s', { table: shown, revision }]]);
    this.task.post({ type: 'view', view: { ...createView(servers, {}, undefined, true), tables } });
  }

  public rowsOf(serverId: string): number {
    const stored = rangeTableCodec.decode(this.store.read('ranges', 's')?.value);
    return listRowsOf(stored.unsafeCoerce(), serverId).length;
  }
}

t.test('holder that renews keeps its keys', async (t) => {
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  await run.pass(40_000, ['a', 'b']);
  t.equal(run.rowsOf('b'), 1);
});

t.test('keys of a lost holder are taken over after its lease', async (t) => {
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  await run.pass(12_000, ['a']);
  t.equal(run.rowsOf('b'), 1, 'the lease may still last');
  await run.pass(9_000, ['a']);
  t.equal(run.rowsOf('b'), 0);
  t.match(run.store.read('leases', 'b')?.value, { revoked: true }, 'its renewals fail from now on');
});

t.test('resigned term is taken over at once', async (t) => {
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  run.task.post({ type: 'resigned', value: { serverId: 'b', term: 1, processId: 'p-b' } });
  await run.pass(2_000, ['a']);
  t.equal(run.rowsOf('b'), 0);
});

t.test('later run of a daemon has not resigned', async (t) => {
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  run.store.set('leases', 'b', lease('b', { processId: 'p-new' }));
  run.task.post({ type: 'resigned', value: { serverId: 'b', term: 1, processId: 'p-b' } });
  await run.pass(4_000, ['a']);
  t.equal(run.rowsOf('b'), 1);
});

t.test('planner without the store is passed over', async (t) => {
  // It answered pings, so that the others took over nobody's keys, its own included, while it could not read the leases.
  const run = new PlannerRun('b', { plans: false });
  t.teardown(() => run.task.stop());
  await run.pass(21_000, ['b']);
  t.equal(run.rowsOf('a'), 0);
});

t.test('planner that reads the leases goes first', async (t) => {
  const run = new PlannerRun('b', { plans: true });
  t.teardown(() => run.task.stop());
  await run.pass(21_000, ['b']);
  t.equal(run.rowsOf('a'), 1);
});

t.test('planner tells whether it reads the leases', async (t) => {
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  await run.pass(4_000, ['a', 'b']);
  t.equal(await run.task.ask<boolean>((reply) => ({ type: 'asked', reply })), true);
  run.store.trouble = 'down';
  await run.pass(9_000, []);
  t.equal(await run.task.ask<boolean>((reply) => ({ type: 'asked', reply })), false);
});

t.test('revoked owner receives no keys', async (t) => {
  // The revocation itself made its record look fresh, so that keys went back to the daemon that had just lost them.
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  run.showTable(createRangeTable('s', [{ serverId: 'a', term: 1, incarnation: 'a/1' }]));
  run.store.set('leases', 'b', lease('b', { revoked: true }));
  await run.pass(6_000, ['a']);
  t.notOk(run.calls.includes('release'), 'no owner is asked to give keys to it');
});

t.test('holders may renew after an outage of the store', async (t) => {
  // The first daemon that could read the store again took the keys of those that renewed a moment later.
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  await run.pass(6_000, ['a', 'b']);
  run.store.trouble = 'down';
  await run.pass(15_000, []);
  run.store.trouble = 'none';
  await run.pass(4_000, ['a']);
  t.equal(run.rowsOf('b'), 1, 'its renewal may be under way');
  await run.pass(3_000, ['a', 'b']);
  t.equal(run.rowsOf('b'), 1);
});

t.test('holder lost in an outage of the store is taken over', async (t) => {
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  await run.pass(6_000, ['a', 'b']);
  run.store.trouble = 'down';
  await run.pass(15_000, []);
  run.store.trouble = 'none';
  await run.pass(9_000, ['a']);
  t.equal(run.rowsOf('b'), 0);
});

t.test('record of another server under this name takes nothing over', async (t) => {
  // A higher term in it passed for the end of the living holder's term.
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  run.store.set('leases', 'b', lease('z', { term: 7 }));
  await run.pass(6_000, ['a']);
  t.equal(run.rowsOf('b'), 1);
});

t.test('lease that cannot be read ends like any other', async (t) => {
  // Its revocation failed, and was repeated every 50 ms.
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  run.store.set('leases', 'b', { serverId: 'b', service: 's' });
  await run.pass(30_000, ['a']);
  t.equal(run.rowsOf('b'), 0);
});

t.test('lease that cannot be revoked holds up no other', async (t) => {
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  run.store.set('leases', 'b', lease('b', { service: 'other' }));
  const owners = ['b', 'c'].map((serverId) => ({ serverId, term: 1, incarnation: `${serverId}/1` }));
  run.store.set('leases', 'c', lease('c'));
  run.showTable(createRangeTable('s', owners));
  for (let passed = 0; passed < 30_000; passed += 3_000) {
    await run.pass(3_000, ['a']);
    run.showStored();
  }
  t.equal(run.rowsOf('c'), 0);
  t.ok(run.store.puts < 20, `${run.store.puts} conditional writes`);
});
