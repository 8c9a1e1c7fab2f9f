import t from 'tap';
import type { Cell } from '#assignment/Cell.js';
import { createCell } from '#assignment/CreateCell.js';
import { ensurePlacements } from '#assignment/EnsurePlacements.js';
import { joinCell } from '#assignment/JoinCell.js';
import { Logger } from '#core/Logger.js';
import { RandomSource } from '#core/RandomSource.js';
import { SystemClock } from '#core/SystemClock.js';
import { CellTask } from '#control/CellTask.js';
import { readCell } from '#control/ReadCell.js';
import type { TaskLinks } from '#control/TaskLinks.js';
import { createLeaseConfig } from '#lease/CreateLeaseConfig.js';
import type { Settings } from '#settings/Settings.js';
import { ObjectStoreServer } from '#standin/ObjectStoreServer.js';
import { HttpObjectStore } from '#store/HttpObjectStore.js';
import { SilentTransport } from './SilentTransport.js';

const NO_OP = (): void => undefined;
const LINKS: TaskLinks = {
  cell: NO_OP,
  fence: NO_OP,
  lease: NO_OP,
  membership: NO_OP,
  move: NO_OP,
  spread: NO_OP,
  witness: NO_OP,
  emit: NO_OP,
};
const NAME = 'cells/permits/0';

const TIMINGS = {
  leaseMs: 600,
  renewEveryMs: 150,
  clockDrift: 0.01,
  spreadEveryMs: 100,
  shutdownMs: 0,
  onceHorizonMs: 0,
};

interface Teardown {
  readonly teardown: (close: () => unknown) => void;
}

/** A cell task of a daemon outside the cell, and a stored cell of s0..s3 in the domains d0 and d1. */
async function setUp(t: Teardown): Promise<{ task: CellTask; store: HttpObjectStore; cell: Cell }> {
  const server = new ObjectStoreServer();
  const url = `http://127.0.0.1:${await server.start()}`;
  const clock = new SystemClock();
  const random = new RandomSource(1);
  const store = new HttpObjectStore({ url, clock, random });
  const settings = { serverId: 's9', seeds: [] as string[], timings: TIMINGS } as unknown as Settings;
  const leaseConfig = createLeaseConfig(TIMINGS);
  const transport = new SilentTransport();
  const context = { settings, leaseConfig, transport, store, clock, logger: new Logger('test'), random };
  const task = new CellTask(context, LINKS, 'w');
  t.teardown(() => {
    task.stop();
    return Promise.all([store.close(), server.stop()]);
  });
  const ports = { callerPort: 0, peerPort: 0, udpPort: 0, adminPort: 0 };
  const facts = { incarnation: 'i', region: 'r1', host: '127.0.0.1', ...ports, checksToken: false, slots: 6 };
  const joined = ['s0', 's1', 's2', 's3'].reduce(
    (state, serverId, index) =>
      joinCell(state, { ...facts, serverId, failureDomain: `d${index % 2}`, vm: serverId }),
    createCell('permits', 0),
  );
  const cell = ensurePlacements(joined, ['*']);
  await store.put({ name: NAME, value: cell, ifVersion: 0, marks: ['m'] });
  return { task, store, cell };
}

t.test('all suspects within 100 ms go into one write', async (t) => {
  const { task, store, cell } = await setUp(t);
  for (const { serverId, epoch } of cell.members.filter((one) => one.failureDomain === 'd0')) {
    task.post({ type: 'suspect', report: { cellName: NAME, serverId, epoch } });
  }
  const after = readCell((await store.watch(NAME, 1, 5_000)).unsafeCoerce()!);
  t.equal(after.version, 2);
  t.same(after.fences.map((fence) => fence.serverId).sort(), ['s0', 's2']);
  t.ok(Object.values(after.shards).every(({ owner }) => owner === 's1' || owner === 's3'));
});

t.test('a report of an older epoch causes no takeover', async (t) => {
  const { task, store, cell } = await setUp(t);
  const [s0, s1] = cell.members;
  task.post({ type: 'suspect', report: { cellName: NAME, serverId: 's0', epoch: s0!.epoch - 1 } });
  task.post({ type: 'suspect', report: { cellName: NAME, serverId: 's1', epoch: s1!.epoch } });
  const after = readCell((await store.watch(NAME, 1, 5_000)).unsafeCoerce()!);
  t.same(
    after.fences.map((fence) => fence.serverId),
    ['s1'],
  );
});
