import t from 'tap';
import { Logger } from '#core/Logger.js';
import { ManualClock } from '#core/ManualClock.js';
import { countKeys } from '#ranges/CountKeys.js';
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

function createLease(serverId: string, change: Partial<LeaseRecord> = {}): LeaseRecord {
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

/** A `PlannerTask` of server `a` or `b`, with leases of both, or of the given servers, in the store. */
class PlannerRun {
  public readonly store = new MemoryCollectionStore();
  public readonly clock = new ManualClock();
  public readonly task: PlannerTask;
  /** Methods that the task called on other daemons. */
  public readonly calls: string[] = [];
  private readonly servers: typeof servers;
  private renewals = 0;

  /** `reply` is the result of each call to another daemon. */
  public constructor(ownId = 'a', reply?: unknown, shown = servers, divided = table) {
    this.servers = shown;
    this.task = new PlannerTask({
      identity: { serverId: ownId, failureDomain: 'd', region: 'r', service: 's' },
      timings: defaultLeaseTimings,
      store: this.store,
      clock: this.clock,
      logger: new Logger('test'),
      call: (_address, method, _params, respond) => {
        this.calls.push(method);
        respond(reply);
      },
    });
    this.setTable(divided);
    for (const { serverId: id } of shown) this.store.set('leases', id, createLease(id));
  }

  /** Advances the clock while the named servers renew their leases. */
  public async advance(
    ms: number,
    renewing: readonly string[],
    change: Readonly<Record<string, Partial<LeaseRecord>>> = {},
  ): Promise<void> {
    for (let passed = 0; passed < ms; passed += 500) {
      if (passed % 3_000 === 0) for (const id of renewing) this.renew(id, change[id]);
      this.clock.advance(500);
      for (let index = 0; index < 20; index += 1) await Promise.resolve();
    }
  }

  private renew(id: string, change: Partial<LeaseRecord> = {}): void {
    this.renewals += 1;
    this.store.set('leases', id, createLease(id, { ...change, renewal: this.renewals }));
  }

  public setTable(shown: RangeTable): void {
    this.store.set('ranges', 's', rangeTableCodec.encode(shown));
    this.postStoredView();
  }

  /** Posts a view with the stored table. */
  public postStoredView(): void {
    const { value, revision } = this.store.read('ranges', 's')!;
    const shown = rangeTableCodec.decode(value).unsafeCoerce();
    const tables = new Map([['s', { table: shown, revision }]]);
    this.task.post({ type: 'view', view: { ...createView(this.servers, {}, undefined, true), tables } });
  }

  public countKeys(serverId: string): number {
    const stored = rangeTableCodec.decode(this.store.read('ranges', 's')?.value);
    return countKeys(listRowsOf(stored.unsafeCoerce(), serverId));
  }

  public countRows(serverId: string): number {
    const stored = rangeTableCodec.decode(this.store.read('ranges', 's')?.value);
    return listRowsOf(stored.unsafeCoerce(), serverId).length;
  }
}

t.test('holder that renews keeps its keys', async (t) => {
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  await run.advance(40_000, ['a', 'b']);
  t.equal(run.countRows('b'), 1);
});

t.test('keys of a lost holder are taken over after its lease expired', async (t) => {
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  await run.advance(12_000, ['a']);
  t.equal(run.countRows('b'), 1, 'the lease may still last');
  await run.advance(9_000, ['a']);
  t.equal(run.countRows('b'), 0);
  t.match(run.store.read('leases', 'b')?.value, { revoked: true }, 'its later renewals fail');
});

t.test('full owner takes over fewer keys of a lost holder', async (t) => {
  // Keys of a lost holder were divided equally, and those that went to a full owner were refused.
  const three = ['a', 'b', 'c'].map((id) => createEntry(id));
  const divided = createRangeTable(
    's',
    three.map(({ serverId, term, incarnation }) => ({ serverId, term, incarnation })),
  );
  const run = new PlannerRun('a', undefined, three, divided);
  t.teardown(() => run.task.stop());
  const before = run.countKeys('a');
  await run.advance(21_000, ['a', 'c'], { c: { workMsPerSecond: 4_000 } });
  t.equal(run.countKeys('b'), 0);
  const [free, full] = [run.countKeys('a') - before, run.countKeys('c') - before];
  t.ok(full > 0 && free > 3 * full, `${free} and ${full} keys`);
});

t.test('resigned term is taken over at once', async (t) => {
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  run.task.post({ type: 'resigned', value: { serverId: 'b', term: 1, processId: 'p-b' } });
  await run.advance(2_000, ['a']);
  t.equal(run.countRows('b'), 0);
});

t.test('resignation of a former run does not end the term of a later run', async (t) => {
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  run.store.set('leases', 'b', createLease('b', { processId: 'p-new' }));
  run.task.post({ type: 'resigned', value: { serverId: 'b', term: 1, processId: 'p-b' } });
  await run.advance(4_000, ['a']);
  t.equal(run.countRows('b'), 1);
});

t.test('daemon that cannot read the store is passed over as planner', async (t) => {
  // Guards against a planner that cannot read the leases but answers pings, so that no daemon takes over any keys.
  const run = new PlannerRun('b', { plans: false });
  t.teardown(() => run.task.stop());
  await run.advance(21_000, ['b']);
  t.equal(run.countRows('a'), 0);
});

t.test('first daemon that can read the leases is the only planner', async (t) => {
  const run = new PlannerRun('b', { plans: true });
  t.teardown(() => run.task.stop());
  await run.advance(21_000, ['b']);
  t.equal(run.countRows('a'), 1);
});

t.test('daemon reports whether it can read the leases', async (t) => {
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  await run.advance(4_000, ['a', 'b']);
  t.equal(await run.task.ask<boolean>((reply) => ({ type: 'asked', reply })), true);
  run.store.faultMode = 'down';
  await run.advance(9_000, []);
  t.equal(await run.task.ask<boolean>((reply) => ({ type: 'asked', reply })), false);
});

t.test('revoked owner receives no keys', async (t) => {
  // Guards against taking the revocation for a renewal, which returned keys to the daemon that had just lost them.
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  run.setTable(createRangeTable('s', [{ serverId: 'a', term: 1, incarnation: 'a/1' }]));
  run.store.set('leases', 'b', createLease('b', { revoked: true }));
  await run.advance(6_000, ['a']);
  t.notOk(run.calls.includes('release'), 'no owner is asked to release keys to it');
});

t.test('holders get time to renew after an outage of the store', async (t) => {
  // Guards against a takeover by the first daemon that can read the store again, before the live holders can renew.
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  await run.advance(6_000, ['a', 'b']);
  run.store.faultMode = 'down';
  await run.advance(15_000, []);
  run.store.faultMode = 'none';
  await run.advance(4_000, ['a']);
  t.equal(run.countRows('b'), 1, 'its renewal may be in progress');
  await run.advance(3_000, ['a', 'b']);
  t.equal(run.countRows('b'), 1);
});

t.test('keys of a holder that was lost in an outage of the store are taken over', async (t) => {
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  await run.advance(6_000, ['a', 'b']);
  run.store.faultMode = 'down';
  await run.advance(15_000, []);
  run.store.faultMode = 'none';
  await run.advance(9_000, ['a']);
  t.equal(run.countRows('b'), 0);
});

t.test('lease record with the id of another server causes no takeover', async (t) => {
  // Guards against taking its higher term for the end of the term of the live holder.
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  run.store.set('leases', 'b', createLease('z', { term: 7 }));
  await run.advance(6_000, ['a']);
  t.equal(run.countRows('b'), 1);
});

t.test('malformed lease expires like any other', async (t) => {
  // Guards against a revocation that fails and is repeated every 50 ms.
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  run.store.set('leases', 'b', { serverId: 'b', service: 's' });
  await run.advance(30_000, ['a']);
  t.equal(run.countRows('b'), 0);
});

t.test('lease that cannot be revoked does not block the revocation of others', async (t) => {
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  run.store.set('leases', 'b', createLease('b', { service: 'other' }));
  const owners = ['b', 'c'].map((serverId) => ({ serverId, term: 1, incarnation: `${serverId}/1` }));
  run.store.set('leases', 'c', createLease('c'));
  run.setTable(createRangeTable('s', owners));
  for (let passed = 0; passed < 30_000; passed += 3_000) {
    await run.advance(3_000, ['a']);
    run.postStoredView();
  }
  t.equal(run.countRows('c'), 0);
  t.ok(run.store.putCalls < 20, `${run.store.putCalls} conditional writes`);
});

t.test('takeovers wait after a restore', async (t) => {
  // The restored table names an owner whose restored lease is revoked, while a later holder has not written yet.
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  run.store.setEraListener((change) => run.task.post({ type: 'eraChanged', change }));
  await run.advance(4_000, ['a', 'b']);
  run.store.set('leases', 'b', createLease('b', { revoked: true }));
  run.store.restore(run.store.backUp());
  await run.store.probe();
  run.postStoredView();
  await run.advance(12_000, ['a']);
  t.equal(run.countRows('b'), 1);
  await run.advance(6_000, ['a']);
  t.equal(run.countRows('b'), 0);
  const stored = rangeTableCodec.decode(run.store.read('ranges', 's')?.value).unsafeCoerce();
  t.ok(stored.lastEpoch >= 2 ** 32, 'the tokens are above those of the earlier era');
});

t.test('takeover planned before a restore is not written', async (t) => {
  // Guards against a planner whose view is of the time before the restore.
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  await run.advance(4_000, ['a', 'b']);
  run.store.set('leases', 'b', createLease('b', { revoked: true }));
  run.store.restore(run.store.backUp());
  await run.advance(9_000, ['a']);
  t.equal(run.countRows('b'), 1, 'the condition of the write is of the earlier era');
});

t.test('new planner leaves the planning to others after a restore', async (t) => {
  // Guards against keys of a lost daemon that nobody takes over because the first planner has just started.
  const run = new PlannerRun();
  t.teardown(() => run.task.stop());
  run.task.post({ type: 'eraChanged', change: { era: 1, isFirst: true } });
  await run.advance(6_000, ['a', 'b']);
  t.equal(await run.task.ask<boolean>((reply) => ({ type: 'asked', reply })), false);
  await run.advance(9_000, ['a', 'b']);
  t.equal(await run.task.ask<boolean>((reply) => ({ type: 'asked', reply })), true);
});
