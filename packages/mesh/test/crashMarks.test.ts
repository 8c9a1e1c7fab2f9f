import t from 'tap';
import type { CrashMark } from '#admission/CrashMark.js';
import { Logger } from '#core/Logger.js';
import { ManualClock } from '#core/ManualClock.js';
import { CrashMarkTask } from '#mesh/CrashMarkTask.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import { MemoryCollectionStore } from '#standin/MemoryCollectionStore.js';
import { createEntry } from './CreateEntry.js';
import { createView } from './CreateView.js';

function createMark(fingerprint: string, death = `a/${fingerprint}`, cleared = false): CrashMark {
  return { fingerprint, death, cleared };
}

/** The `CrashMarkTask` of one daemon; calls to other daemons are recorded and succeed while `isConnected`. */
class MarkRun {
  public readonly clock: ManualClock;
  public readonly store: MemoryCollectionStore;
  public readonly task: CrashMarkTask;
  public readonly restored: CrashMark[] = [];
  public readonly sent: (readonly [address: string, fingerprints: readonly string[]])[] = [];
  public isConnected = true;

  public constructor(
    store = new MemoryCollectionStore(),
    serverId = 'a',
    service = 's',
    clock = new ManualClock(),
  ) {
    this.clock = clock;
    this.store = store;
    this.task = new CrashMarkTask({
      identity: { serverId, failureDomain: 'd', region: 'r', service },
      store,
      clock,
      logger: new Logger('test'),
      call: (address, _method, params, reply) => {
        const { marks } = params as { readonly marks: readonly CrashMark[] };
        this.sent.push([address, marks.map(({ fingerprint }) => fingerprint)]);
        reply(this.isConnected ? true : undefined);
      },
      onRestored: (marks) => this.restored.push(...marks),
    });
    this.task.start();
  }

  public async advance(ms: number): Promise<void> {
    for (let index = 0; index < 5; index += 1) await new Promise((resolve) => setImmediate(resolve));
    this.clock.advance(ms);
    for (let index = 0; index < 5; index += 1) await new Promise((resolve) => setImmediate(resolve));
  }

  public async mark(...marks: readonly CrashMark[]): Promise<void> {
    await this.advance(0);
    this.task.post({ type: 'marked', marks });
    await this.advance(0);
  }

  public async show(...servers: readonly ServerEntry[]): Promise<void> {
    this.task.post({ type: 'view', view: createView(servers) });
    await this.advance(0);
  }
}

t.test('marks survive a restart of all daemons', async (t) => {
  // Guards against a request that crashes two more servers for each daemon that was restarted.
  const first = new MarkRun();
  await first.mark(createMark('x', 'a/1'));
  const second = new MarkRun(first.store, 'b');
  await second.mark(createMark('x', 'b/1'));
  for (const run of [first, second]) run.task.stop();
  for (const serverId of ['a', 'b', 'c']) {
    const next = new MarkRun(first.store, serverId);
    await next.advance(0);
    t.same(next.restored.map(({ death }) => death).sort(), ['a/1', 'b/1'], serverId);
  }
});

t.test('next write keeps the marks of a former process', async (t) => {
  // Guards against marks that the second restart forgets.
  const first = new MarkRun();
  await first.mark(createMark('x'));
  first.task.stop();
  const second = new MarkRun(first.store);
  await second.mark(createMark('y'));
  await second.advance(1_000);
  second.task.stop();
  const third = new MarkRun(first.store);
  await third.advance(0);
  t.same(third.restored.map(({ fingerprint }) => fingerprint).sort(), ['x', 'y']);
});

t.test('marks are sent until they are received', async (t) => {
  // Marks were sent once, and a daemon whose connection was cut at that moment never had them.
  const run = new MarkRun();
  run.isConnected = false;
  await run.show(createEntry('a'), createEntry('b'));
  await run.mark(createMark('x'));
  t.equal(run.sent.length, 1);
  await run.advance(500);
  t.equal(run.sent.length, 2);
  run.isConnected = true;
  await run.advance(500);
  await run.advance(2_000);
  t.same(run.sent.at(-1), ['10.0.0.98:1', ['x']]);
  t.equal(run.sent.length, 3, 'it is not sent again');
  await run.mark(createMark('y'));
  t.same(run.sent.at(-1), ['10.0.0.98:1', ['y']], 'only the new mark is sent');
});

t.test('new process of another daemon gets the marks', async (t) => {
  const run = new MarkRun();
  await run.show(createEntry('b'), createEntry('c', { service: 'u' }));
  await run.mark(createMark('x'));
  t.same(run.sent, [['10.0.0.98:1', ['x']]], 'daemons of other services get none');
  await run.show(createEntry('b', { processId: 'next' }));
  t.equal(run.sent.length, 2);
});

t.test('flood of crashing requests is a bounded number of writes', async (t) => {
  const run = new MarkRun();
  await run.advance(0);
  const before = run.store.putCalls;
  for (let index = 0; index < 1_000; index += 1) {
    run.task.post({ type: 'marked', marks: [createMark(`f${index}`)] });
    await run.advance(10);
  }
  t.ok(run.store.putCalls - before <= 12, `${run.store.putCalls - before} writes in 10 s`);
  const { marks } = run.store.read('crashes', 'a')?.value as { readonly marks: readonly unknown[] };
  t.ok(marks.length <= 200, `${marks.length} marks are stored`);
});

t.test('marks are written after an outage of the store', async (t) => {
  const run = new MarkRun();
  await run.advance(0);
  run.store.faultMode = 'down';
  await run.mark(createMark('x'));
  t.equal(run.store.read('crashes', 'a'), undefined);
  run.store.faultMode = 'none';
  await run.advance(1_000);
  t.match(run.store.read('crashes', 'a')?.value, { marks: [{ fingerprint: 'x' }] });
});

t.test('marks are read after an outage of the store', async (t) => {
  const first = new MarkRun();
  await first.mark(createMark('x'));
  first.store.faultMode = 'down';
  const second = new MarkRun(first.store, 'b');
  await second.advance(500);
  t.same(second.restored, []);
  first.store.faultMode = 'none';
  await second.advance(500);
  t.equal(second.restored.length, 1);
});

t.test('stored marks count across a difference of clocks', async (t) => {
  // Guards against marks that are dropped, or kept for ever, by a daemon whose wall clock differs.
  const first = new MarkRun();
  await first.mark(createMark('x'));
  const ahead = new ManualClock();
  ahead.advance(50_000);
  const second = new MarkRun(first.store, 'b', 's', ahead);
  await second.advance(0);
  t.equal(second.restored.length, 1);
  const later = new ManualClock();
  later.advance(200_000);
  const third = new MarkRun(first.store, 'c', 's', later);
  await third.advance(0);
  t.same(third.restored, []);
});

t.test('stored marks from far in the future do not count', async (t) => {
  // Guards against a request that each restart holds again, after a VM whose clock was far ahead marked it.
  const ahead = new ManualClock();
  ahead.advance(600_000);
  const first = new MarkRun(new MemoryCollectionStore(), 'a', 's', ahead);
  await first.mark(createMark('x'));
  const second = new MarkRun(first.store, 'b');
  await second.advance(0);
  t.same(second.restored, []);
});

t.test('cleared mark stays cleared', async (t) => {
  const first = new MarkRun();
  await first.mark(createMark('x', 'a/1'));
  await first.mark(createMark('x', 'a/1', true));
  await first.advance(1_000);
  const second = new MarkRun(first.store, 'b');
  await second.advance(0);
  t.same(second.restored, [createMark('x', 'a/1', true)]);
});

t.test('malformed record does not affect the others', async (t) => {
  const first = new MarkRun();
  await first.mark(createMark('x'));
  first.store.set('crashes', 'odd', { service: 's', marks: [{ fingerprint: 5 }] });
  const second = new MarkRun(first.store, 'b');
  await second.advance(0);
  t.equal(second.restored.length, 1);
});

t.test('marks are written again after a restore', async (t) => {
  // Guards against a request that crashes more servers because the store has forgotten its marks.
  const run = new MarkRun();
  run.store.setEraListener((change) => run.task.post({ type: 'eraChanged', change }));
  await run.mark(createMark('x'));
  const backup = run.store.backUp();
  await run.advance(2_000);
  await run.mark(createMark('y'));
  run.store.restore(backup);
  await run.store.probe();
  for (let index = 0; index < 4; index += 1) await run.advance(1_000);
  const { marks } = run.store.read('crashes', 'a')?.value as { readonly marks: readonly CrashMark[] };
  t.same(
    marks.map(({ fingerprint }) => fingerprint),
    ['x', 'y'],
  );
});
