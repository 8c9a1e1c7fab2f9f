import t from 'tap';
import { Logger } from '#core/Logger.js';
import { ManualClock } from '#core/ManualClock.js';
import { defaultLeaseTimings } from '#ranges/DefaultLeaseTimings.js';
import { ElapsedClock } from '#ranges/ElapsedClock.js';
import type { HeldLease } from '#mesh/HeldLease.js';
import type { LeaseRecord } from '#mesh/LeaseRecord.js';
import { RangeLeaseTask } from '#mesh/RangeLeaseTask.js';
import { MemoryCollectionStore } from '#standin/MemoryCollectionStore.js';

/** Test harness of the `RangeLeaseTask` of server `a`, with an in-memory store and a manual clock. */
class LeaseRun {
  public readonly clock = new ManualClock();
  public readonly store: MemoryCollectionStore;
  public readonly task: RangeLeaseTask;
  public readonly leases: HeldLease[] = [];

  public constructor(store = new MemoryCollectionStore()) {
    this.store = store;
    this.task = new RangeLeaseTask({
      identity: { serverId: 'a', failureDomain: 'd', region: 'r', service: 's' },
      processId: 'p1',
      timings: defaultLeaseTimings,
      store,
      clock: this.clock,
      elapsed: new ElapsedClock(this.clock),
      logger: new Logger('test'),
      onLease: (lease) => this.leases.push(lease),
    });
    this.task.post({ type: 'hold' });
  }

  public async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 500) {
      await settle();
      this.clock.advance(500);
    }
    await settle();
  }

  public get record(): LeaseRecord {
    return this.store.read('leases', 'a')?.value as LeaseRecord;
  }

  public get revision(): number {
    return this.store.read('leases', 'a')?.revision ?? 0;
  }
}

async function settle(): Promise<void> {
  for (let index = 0; index < 20; index += 1) await Promise.resolve();
}

t.test('each renewal gets a new revision', async (t) => {
  // Without one, the planner took the lease of an idle holder for expired.
  const run = new LeaseRun();
  t.teardown(() => run.task.stop());
  await run.advance(500);
  const { revision } = run;
  await run.advance(3_500);
  t.ok(run.revision > revision);
  t.ok((run.leases.at(-1)?.untilMs ?? 0) > defaultLeaseTimings.leaseMs + 2_000);
});

t.test('new term begins after a revocation', async (t) => {
  const run = new LeaseRun();
  t.teardown(() => run.task.stop());
  await run.advance(500);
  run.store.set('leases', 'a', { ...run.record, revoked: true });
  await run.advance(3_500);
  t.ok(
    run.leases.some(({ untilMs }) => untilMs === 0),
    'its holder is notified',
  );
  t.equal(run.leases.at(-1)?.term, 2);
  t.match(run.record, { term: 2, revoked: false });
});

t.test('restarted daemon keeps its term', async (t) => {
  const first = new LeaseRun();
  await first.advance(500);
  first.task.stop();
  const second = new LeaseRun(first.store);
  t.teardown(() => second.task.stop());
  await second.advance(500);
  t.equal(second.leases.at(-1)?.term, 1);
});

t.test('renewal without a reply does not extend the lease', async (t) => {
  const run = new LeaseRun();
  t.teardown(() => run.task.stop());
  await run.advance(500);
  const before = run.leases.length;
  run.store.faultMode = 'down';
  await run.advance(6_000);
  t.equal(run.leases.length, before);
  run.store.faultMode = 'none';
  await run.advance(1_000);
  t.ok(run.leases.length > before, 'it is renewed once the store replies');
});

t.test('resigned lease is not renewed', async (t) => {
  const run = new LeaseRun();
  t.teardown(() => run.task.stop());
  await run.advance(500);
  const resignation = await run.task.ask((reply) => ({ type: 'resign', reply }));
  t.same(resignation, { serverId: 'a', term: 1, processId: 'p1' });
  await run.advance(4_000);
  t.match(run.record, { term: 1, revoked: true });
});

t.test('pending renewal does not extend a resigned lease', async (t) => {
  // The reply of the renewal extended the lease after the resignation, so that keys already taken over could be
  // granted
  // again; and the resignation was not written, because the renewal had changed the record.
  const run = new LeaseRun();
  t.teardown(() => run.task.stop());
  await run.advance(500);
  const before = run.leases.length;
  run.task.post({ type: 'renew' });
  await run.task.ask((reply) => ({ type: 'resign', reply }));
  await run.advance(1_000);
  t.equal(run.leases.length, before);
  t.match(run.record, { term: 1, revoked: true });
});

t.test('lease is written again after a restore', async (t) => {
  // Guards against a planner that takes the keys over because the store has lost the renewals.
  const run = new LeaseRun();
  t.teardown(() => run.task.stop());
  run.store.setEraListener((change) => run.task.post({ type: 'eraChanged', change }));
  const backup = run.store.backUp();
  await run.advance(500);
  run.store.restore(backup);
  t.equal(run.record, undefined);
  await run.store.probe();
  await run.advance(500);
  t.match(run.record, { term: 1, revoked: false }, 'the term goes on');
  t.match(run.leases.at(-1), { term: 1, era: 1 });
});

t.test('restored revocation of an earlier term does not end the present one', async (t) => {
  const run = new LeaseRun();
  t.teardown(() => run.task.stop());
  run.store.setEraListener((change) => run.task.post({ type: 'eraChanged', change }));
  await run.advance(500);
  run.store.set('leases', 'a', { ...run.record, revoked: true });
  const backup = run.store.backUp();
  await run.advance(3_500);
  t.equal(run.leases.at(-1)?.term, 2);
  const before = run.leases.length;
  run.store.restore(backup);
  await run.store.probe();
  await run.advance(1_000);
  t.notOk(
    run.leases.slice(before).some(({ untilMs }) => untilMs === 0),
    'the lease continues',
  );
  t.match(run.record, { term: 2, revoked: false });
});

t.test('term that lapsed before a restore does not continue', async (t) => {
  // It may have been revoked after the backup, which the restored store has forgotten.
  const run = new LeaseRun();
  t.teardown(() => run.task.stop());
  run.store.setEraListener((change) => run.task.post({ type: 'eraChanged', change }));
  await run.advance(500);
  run.store.faultMode = 'down';
  await run.advance(14_000);
  run.store.restore(run.store.backUp());
  run.store.faultMode = 'none';
  await run.advance(2_000);
  t.match(run.leases.at(-1), { term: 2, era: 1 });
});
