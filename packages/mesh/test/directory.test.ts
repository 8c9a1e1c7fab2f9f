import t from 'tap';
import { Logger } from '#core/Logger.js';
import { ManualClock } from '#core/ManualClock.js';
import { DirectoryTask } from '#mesh/DirectoryTask.js';
import type { ReadReport } from '#mesh/ReadReport.js';
import { RouteDecoder } from '#mesh/RouteDecoder.js';
import type { MeshView } from '#mesh/MeshView.js';
import { MemoryCollectionStore } from '#standin/MemoryCollectionStore.js';
import { createEntry } from './CreateEntry.js';
import { VersionDecoder } from './VersionDecoder.js';

/** Throws on version 13, as a decoder with a fault would. */
class FaultyDecoder extends VersionDecoder {
  public override decode(name: string, value: unknown): ReturnType<RouteDecoder['decode']> {
    if (value === 13) throw new Error('odd version');
    return super.decode(name, value);
  }
}

/** Test harness of `DirectoryTask` with an in-memory store and a manual clock. */
class DirectoryRun {
  public readonly store = new MemoryCollectionStore();
  public readonly clock = new ManualClock();
  public readonly task: DirectoryTask;
  public views: MeshView[] = [];
  public readonly reads: ReadReport[] = [];

  public constructor(decoder: RouteDecoder = new VersionDecoder()) {
    this.task = new DirectoryTask(this.store, decoder, this.clock, new Logger('test'), (read) =>
      this.reads.push(read),
    );
  }

  public get view(): MeshView {
    const view = this.views.at(-1);
    if (view === undefined) throw new Error('no view yet');
    return view;
  }

  public async start(): Promise<void> {
    this.task.post({ type: 'subscribe', listener: (view) => this.views.push(view) });
    this.task.start();
    await this.advance(0);
  }

  public async advance(ms: number): Promise<void> {
    for (let index = 0; index < 10; index += 1) await new Promise((resolve) => setImmediate(resolve));
    this.clock.advance(ms);
    for (let index = 0; index < 10; index += 1) await new Promise((resolve) => setImmediate(resolve));
  }
}

t.test('changes reach the view', async (t) => {
  const run = new DirectoryRun();
  run.store.set('routes', 'main', 4);
  await run.start();
  t.equal(run.view.routes?.table.version, 4);
  t.equal(run.view.complete, true);
  await run.advance(400);
  run.store.set('servers', 'a', createEntry('a'));
  await run.advance(400);
  t.equal(run.view.servers.get('a')?.state, 'ready');
});

t.test('configuration never reverts', async (t) => {
  const run = new DirectoryRun();
  run.store.set('routes', 'main', 4);
  await run.start();
  await run.advance(400);
  run.store.set('routes', 'main', 3);
  await run.advance(400);
  t.equal(run.view.routes?.table.version, 4);
});

t.test('malformed entry does not affect the others', async (t) => {
  const run = new DirectoryRun();
  run.store.set('servers', 'a', createEntry('a'));
  run.store.set('servers', 'b', { state: 5 });
  await run.start();
  t.same([...run.view.servers.keys()], ['a']);
});

t.test('store is read again after an outage', async (t) => {
  const run = new DirectoryRun();
  run.store.faultMode = 'down';
  await run.start();
  t.equal(run.view.complete, false);
  run.store.faultMode = 'none';
  run.store.set('routes', 'main', 4);
  await run.advance(1_000);
  t.equal(run.view.complete, true);
});

t.test('hint makes up for a stalled watch', async (t) => {
  const run = new DirectoryRun();
  run.store.set('routes', 'main', 4);
  await run.start();
  await run.advance(400);
  // The watch is not notified of this change, as if its connection were stalled.
  run.store.stallsWatches = true;
  const { revision } = run.store.set('routes', 'main', 5);
  await run.advance(400);
  t.equal(run.view.routes?.table.version, 4);
  run.task.post({ type: 'hint', revisions: [revision] });
  await run.advance(0);
  t.equal(run.view.routes?.table.version, 5);
});

t.test('all collections are watched again on new connections', async (t) => {
  // Guards against a watch that waits on a connection which no longer carries responses.
  const run = new DirectoryRun();
  run.store.set('routes', 'main', 4);
  await run.start();
  await run.advance(400);
  run.store.stallsWatches = true;
  run.store.set('routes', 'main', 5);
  run.store.set('servers', 'a', createEntry('a'));
  run.store.set('evacuations', 'd', {});
  await run.advance(400);
  t.equal(run.view.routes?.table.version, 4);
  run.task.post({ type: 'reconnected' });
  await run.advance(0);
  t.equal(run.view.routes?.table.version, 5);
  t.equal(run.view.servers.get('a')?.state, 'ready');
  t.same([...run.view.evacuated], ['d']);
});

t.test('collection is still watched after its decoder throws', async (t) => {
  // The process ended, and again after each restart, when it read the same object.
  const run = new DirectoryRun(new FaultyDecoder());
  run.store.set('routes', 'main', 13);
  run.store.set('routes', 'next', 4);
  await run.start();
  t.equal(run.view.routes?.table.version, 4);
  await run.advance(400);
  run.store.set('routes', 'main', 5);
  await run.advance(400);
  t.equal(run.view.routes?.table.version, 5);
});

t.test('reader that is behind changes nothing', async (t) => {
  // Guards against a view that goes back when a daemon turns from the store, or from another reader, to a slower reader.
  const run = new DirectoryRun();
  run.store.set('servers', 'a', createEntry('a', { slots: 2 }));
  await run.start();
  const before = { name: 'a', revision: 1, value: createEntry('a', { slots: 1 }) };
  const listing = { items: [], unreadable: [], revision: 1 };
  const changes = { changes: [{ item: before, deleted: false }], unreadable: [], revision: 1 };
  run.task.post({ type: 'followed', updates: [{ type: 'changed', collection: 'servers', changes }] });
  run.task.post({ type: 'followed', updates: [{ type: 'listed', collection: 'servers', listing }] });
  await run.advance(0);
  t.equal(run.view.servers.get('a')?.slots, 2);
});

t.test('store is watched again from what a reader has sent', async (t) => {
  // Guards against changes that are lost, or read twice, when the source changes.
  const run = new DirectoryRun();
  run.store.set('routes', 'main', 4);
  await run.start();
  await run.advance(400);
  run.task.post({ type: 'followed', updates: [] });
  await run.advance(0);
  const { revision } = run.store.set('routes', 'main', 5);
  await run.advance(400);
  t.equal(run.view.routes?.table.version, 4, 'the reply to a watch from before is ignored');
  const item = { name: 'main', revision, value: 5 };
  const changes = { changes: [{ item, deleted: false }], unreadable: [], revision };
  run.task.post({ type: 'followed', updates: [{ type: 'changed', collection: 'routes', changes }] });
  await run.advance(0);
  t.equal(run.view.routes?.table.version, 5);
  run.store.set('routes', 'main', 6);
  run.task.post({ type: 'direct' });
  await run.advance(0);
  t.equal(run.view.routes?.table.version, 6);
});

t.test('answered probe confirms only watches that were sent before it', async (t) => {
  // Guards against a reader that passes for current while its first watch after an outage is under way.
  const confirmed: string[] = [];
  const store = new MemoryCollectionStore();
  const clock = new ManualClock();
  const task = new DirectoryTask(store, new VersionDecoder(), clock, new Logger('test'), (report) => {
    if (report.type === 'confirmed') confirmed.push(report.collection);
  });
  const settle = async (): Promise<void> => {
    for (let index = 0; index < 10; index += 1) await new Promise((resolve) => setImmediate(resolve));
  };
  task.start();
  await settle();
  clock.advance(400);
  await settle();
  task.post({ type: 'confirmed', sentMs: 0 });
  await settle();
  t.same(confirmed, [], 'the watches are younger than the probe');
  task.post({ type: 'confirmed', sentMs: 400 });
  await settle();
  t.equal(confirmed.length, 4);
  task.post({ type: 'followed', updates: [] });
  task.post({ type: 'confirmed', sentMs: 500 });
  await settle();
  t.equal(confirmed.length, 4, 'a follower has no confirmation of its own');
});

t.test('restore lists all collections again and takes back no configuration', async (t) => {
  // Guards against a view that stays at versions which the store does not have, and against an earlier configuration.
  const run = new DirectoryRun();
  run.store.setEraListener(() => run.task.post({ type: 'eraChanged' }));
  run.store.set('routes', 'main', 4);
  run.store.set('servers', 'a', createEntry('a'));
  const backup = run.store.backUp();
  run.store.set('routes', 'main', 5);
  run.store.set('servers', 'b', createEntry('b'));
  await run.start();
  await run.advance(400);
  run.store.restore(backup);
  await run.store.probe();
  await run.advance(400);
  t.equal(run.view.routes?.table.version, 5);
  t.same([...run.view.servers.keys()], ['a']);
  run.store.set('servers', 'b', createEntry('b', { slots: 9 }));
  await run.advance(400);
  await run.advance(400);
  t.equal(run.view.servers.get('b')?.slots, 9, 'changes after the restore are seen');
});

t.test('restore undoes no leave that a daemon knows of', async (t) => {
  // Guards against new work for a server whose daemon was lost before it could write the leave again.
  const run = new DirectoryRun();
  run.store.setEraListener(() => run.task.post({ type: 'eraChanged' }));
  run.store.set('servers', 'a', createEntry('a'));
  run.store.set('servers', 'b', createEntry('b'));
  const backup = run.store.backUp();
  const leave = { bornMs: 1, sequence: 2 };
  run.store.set('servers', 'a', createEntry('a', { state: 'gone', leave }));
  run.store.set('servers', 'b', createEntry('b', { state: 'draining', leave }));
  await run.start();
  await run.advance(400);
  run.store.restore(backup);
  await run.store.probe();
  await run.advance(400);
  t.equal(run.view.servers.get('a')?.state, 'gone');
  t.equal(run.view.servers.get('b')?.state, 'draining');
  run.store.set('servers', 'a', createEntry('a', { slots: 5, processId: 'p-next' }));
  run.store.set('servers', 'b', createEntry('b', { slots: 5 }));
  for (let index = 0; index < 3; index += 1) await run.advance(400);
  t.equal(run.view.servers.get('a')?.state, 'gone', 'a later process has forgotten the leave');
  t.equal(run.view.servers.get('b')?.state, 'ready', 'the daemon that drained it says so');
  run.store.set('servers', 'a', createEntry('a', { incarnation: 'a/2' }));
  for (let index = 0; index < 3; index += 1) await run.advance(400);
  t.equal(run.view.servers.get('a')?.state, 'ready', 'another run');
});

t.test('evacuation that a restore has undone stays in force for some time', async (t) => {
  // Guards against new work in a failure domain until the operator has written its evacuation again.
  const run = new DirectoryRun();
  run.store.setEraListener(() => run.task.post({ type: 'eraChanged' }));
  const backup = run.store.backUp();
  run.store.set('evacuations', 'd', {});
  await run.start();
  await run.advance(400);
  run.store.restore(backup);
  await run.store.probe();
  await run.advance(400);
  t.ok(run.view.evacuated.has('d'));
  const last = run.reads.findLast((read) => 'update' in read && read.update.collection === 'evacuations');
  t.match(
    last,
    { update: { listing: { items: [{ name: 'd' }] } } },
    'also at daemons that read through this one',
  );
  for (let index = 0; index < 6; index += 1) await run.advance(2_000);
  t.notOk(run.view.evacuated.has('d'), 'the operator has not written it again');
});
