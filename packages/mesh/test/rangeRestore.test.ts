import t from 'tap';
import { claimRanges } from '#ranges/ClaimRanges.js';
import { computeTokenFloor } from '#ranges/ComputeTokenFloor.js';
import { createRangeTable } from '#ranges/CreateRangeTable.js';
import { listRowsOf } from '#ranges/ListRowsOf.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import { transferRanges } from '#ranges/TransferRanges.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';
import { createEntry } from './CreateEntry.js';
import { createView } from './CreateView.js';
import { RangeRun } from './RangeRun.js';

const servers = [createEntry('a'), createEntry('b')];
const [ownerA, ownerB] = servers.map(({ serverId, term, incarnation }) => ({ serverId, term, incarnation }));
const table = createRangeTable('s', [ownerA!, ownerB!]);
const fullRow = { from: 0, to: 32_767, epoch: 1 };

/** Token of the first row that is written after the first restore. */
const FLOOR = computeTokenFloor(1);

/** Time after a restore from which no lease of before it lasts, in milliseconds. */
const SETTLED_MS = 13_000;

/** Time after which all grants of a former run of the daemon have expired, in milliseconds. */
const INHERITED_MS = 7_500;

interface Subtest {
  readonly teardown: (close: () => unknown) => void;
}

/** Starts a daemon `a` whose tasks are told of restores. */
function startRun(t: Subtest): RangeRun {
  const run = new RangeRun();
  t.teardown(() => run.task.stop());
  run.store.setEraListener((change) => run.task.post({ type: 'eraChanged', change }));
  return run;
}

/** Starts a daemon that grants the first half of the keys under a lease of `leftMs`. */
async function startHolder(t: Subtest, leftMs = 12_000): Promise<RangeRun> {
  const run = startRun(t);
  await run.store.get('ranges', 's');
  await run.view(servers, table);
  await run.lease(1, leftMs);
  await run.checkIn([]);
  return run;
}

/** Restores the store to `stored`, or to no table, and lets the daemon learn of it. */
async function restore(run: RangeRun, stored: RangeTable | undefined): Promise<void> {
  run.store.remove('ranges', 's');
  if (stored !== undefined) run.store.set('ranges', 's', rangeTableCodec.encode(stored));
  run.store.restore(run.store.backUp());
  await run.store.probe();
  await run.settle();
}

async function advance(run: RangeRun, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 250) await run.advance(250);
}

t.test('tokens of an era are above all earlier ones', (t) => {
  // Guards against a token that is issued again because the table that contained it was lost.
  const next = claimRanges(table, ownerA!, [{ from: 40_000, to: 41_000 }], { eraFloor: FLOOR, next: FLOOR });
  t.equal(next.rows.find(({ from }) => from === 40_000)?.epoch, FLOOR);
  t.equal(next.lastEpoch, FLOOR);
  const again = claimRanges(next, ownerB!, [{ from: 40_500, to: 42_000 }], { eraFloor: FLOOR, next: FLOOR });
  t.match(
    listRowsOf(again, 'b').find(({ from }) => from === 41_001),
    { to: 42_000, epoch: FLOOR + 1 },
    'rows of this era are not claimed',
  );
  t.end();
});

t.test('holder keeps keys that the restored table gives to another', async (t) => {
  // Guards against a holder that loses keys to the owner of before the backup.
  const run = await startHolder(t);
  await restore(run, createRangeTable('s', [ownerB!]));
  t.match(run.served, [{ from: 0, to: 32_767 }], 'served before the claim');
  t.equal(listRowsOf(run.table(), 'a').length, 0, 'no claim before the lease is renewed');
  await run.lease(1, 12_000, 1);
  t.match(listRowsOf(run.table(), 'a'), [{ from: 0, to: 32_767, epoch: FLOOR }]);
  t.match(await run.checkIn([fullRow]), { rows: [{ from: 0, to: 32_767, epoch: FLOOR }] });
});

t.test('kept keys are not granted beyond the lease of before the restore', async (t) => {
  // Guards against a holder that grants keys by its renewed lease while the owner in the table may take them.
  const run = await startHolder(t, 5_000);
  await restore(run, createRangeTable('s', [ownerB!]));
  run.store.faultMode = 'down';
  await run.lease(1, 12_000, 1);
  const grant = await run.checkIn([fullRow]);
  t.ok(grant !== 'held' && grant !== undefined && grant.holdMs < 5_000);
  await advance(run, 5_000);
  t.same(run.served, []);
  t.notMatch(await run.checkIn([]), { rows: [{}] });
});

t.test('lapsed lease keeps no keys', async (t) => {
  // Guards against a daemon that was cut off during the restore and claims keys that were taken over before it.
  const run = await startHolder(t, 4_000);
  await advance(run, 5_000);
  await restore(run, createRangeTable('s', [ownerB!]));
  await run.lease(2, 12_000, 1);
  await run.checkIn([]);
  t.equal(listRowsOf(run.table(), 'a').length, 0);
});

for (const isNew of [true, false])
  t.test(`former owner waits for the holder, ${isNew ? 'new' : 'old'} process`, async (t) => {
    // Guards against a former owner that the restored table names, while a later holder has not written yet.
    const run = startRun(t);
    if (!isNew) {
      await run.store.get('ranges', 's');
      await run.view(servers, transferRanges(table, [{ ...fullRow, owner: ownerB!, handover: '' }]));
      await run.lease(1);
      await run.checkIn([]);
    }
    await restore(run, table);
    await run.view(servers, run.table());
    await run.lease(1, 60_000, 1);
    t.notMatch(await run.checkIn([]), { rows: [{}] });
    await advance(run, SETTLED_MS - 2_500);
    t.notMatch(await run.checkIn([]), { rows: [{}] });
    t.equal(run.table().lastEpoch, 1, 'not written in its own name either');
    await advance(run, 2_500);
    t.match(listRowsOf(run.table(), 'a'), [{ ...fullRow, epoch: FLOOR }]);
    t.match(await run.checkIn([]), { rows: [{ ...fullRow, epoch: FLOOR }] });
  });

t.test('new run of the server renews no unproven row', async (t) => {
  // Guards against a former owner that raises the tokens of its old rows, so that they look as if it held them.
  const run = startRun(t);
  await restore(run, table);
  await run.view(servers, run.table());
  await run.lease(2, 60_000, 1);
  await run.checkIn([], [], 'a/2');
  t.match(listRowsOf(run.table(), 'a'), [{ epoch: 1, term: 1 }]);
});

t.test('leaving former owner moves no unproven row', async (t) => {
  // Guards against a release of keys that another daemon holds.
  const run = startRun(t);
  await restore(run, table);
  await run.view(servers, run.table());
  await run.lease(1, 60_000, 1);
  await run.checkIn([], [], 'a/1', true);
  await advance(run, INHERITED_MS);
  await run.checkIn([], [], 'a/1', true);
  t.equal(run.table().lastEpoch, 1);
});

t.test('restarted daemon claims what its backend server holds', async (t) => {
  // The daemon started in the middle of the restore; the table names the owner of before the backup.
  const run = startRun(t);
  await restore(run, createRangeTable('s', [ownerB!]));
  await run.view(servers, run.table());
  await run.lease(1, 60_000, 1);
  await run.checkIn([fullRow]);
  t.equal(listRowsOf(run.table(), 'a').length, 0, 'the announcement may have waited in a socket');
  await advance(run, 2_000);
  await run.checkIn([fullRow]);
  t.match(listRowsOf(run.table(), 'a'), [{ from: 0, to: 32_767, epoch: FLOOR }]);
});

t.test('tokens that the backend server reports are exceeded', async (t) => {
  const run = startRun(t);
  await restore(run, createRangeTable('s', [ownerB!]));
  await run.view(servers, run.table());
  await run.lease(1, 60_000, 1);
  await advance(run, 2_000);
  await run.checkIn([fullRow, { from: 40_000, to: 40_001, epoch: FLOOR + 77 }]);
  t.equal(listRowsOf(run.table(), 'a')[0]?.epoch, FLOOR + 78);
});

t.test('holder writes a lost table again', async (t) => {
  // Guards against keys without any owner, and against owners of a new table that grant keys of a holder.
  const run = await startHolder(t);
  await restore(run, undefined);
  await run.lease(1, 12_000, 1);
  const rows = run.table().rows.filter(({ epoch }) => epoch >= FLOOR);
  t.match(rows, [{ from: 0, to: 32_767, serverId: 'a' }]);
  t.equal(rows.length, 1, 'the other rows are not proven');
});

t.test('lost table is not divided anew while holders may exist', async (t) => {
  // Guards against a division that gives keys of a holder to others. The other daemon lived before the restore.
  const run = startRun(t);
  await restore(run, undefined);
  await run.view([createEntry('a', { bornEra: 1 }), createEntry('b')]);
  await run.lease(1, 60_000, 1);
  await run.checkIn([]);
  await advance(run, 6_000);
  t.equal(run.store.read('ranges', 's'), undefined);
  await advance(run, SETTLED_MS - 6_000);
  await advance(run, 3_000);
  t.equal(listRowsOf(run.table(), 'a').length, 1);
});

t.test('constant era delays the first division no longer', async (t) => {
  const run = startRun(t);
  await restore(run, undefined);
  await run.view(servers.map((entry) => ({ ...entry, bornEra: 1 })));
  await run.lease(1, 60_000, 1);
  await run.checkIn([]);
  await advance(run, 3_000);
  t.match(run.table(), { lastEpoch: FLOOR });
  t.match(await run.checkIn([]), { rows: [{ epoch: FLOOR }] });
});

t.test('keys of a transfer in flight are not kept', async (t) => {
  // The write may have been carried out before the restore, and the receiver may hold the keys.
  const run = await startHolder(t, 60_000);
  await advance(run, INHERITED_MS);
  await run.checkIn([fullRow]);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.checkIn([fullRow]);
  run.store.faultMode = 'repliesLost';
  const held = { from: 0, to: 16_383, epoch: 1 };
  const checkedIn = run.checkIn([held], [{ from: 16_384, to: 32_767, handover: 'h' }]);
  await run.settle();
  run.store.faultMode = 'none';
  await restore(run, table);
  await checkedIn;
  await run.lease(1, 60_000, 1);
  await advance(run, 500);
  t.match(
    run.table().rows.filter(({ epoch }) => epoch >= FLOOR),
    [{ from: 0, to: 16_383, serverId: 'a' }],
  );
  t.equal(run.table().rows.filter(({ epoch }) => epoch >= FLOOR).length, 1);
});

t.test('planned move goes on after the restore', async (t) => {
  const run = await startHolder(t, 60_000);
  await advance(run, INHERITED_MS);
  await run.checkIn([fullRow]);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.checkIn([fullRow]);
  await restore(run, table);
  await run.lease(1, 60_000, 1);
  await run.checkIn([{ from: 0, to: 16_383, epoch: 1 }], [{ from: 16_384, to: 32_767, handover: 'h' }]);
  await run.checkIn([{ from: 0, to: 16_383, epoch: FLOOR }], []);
  t.match(
    run.table().rows.find(({ from }) => from === 16_384),
    { serverId: 'b', handover: 'h', epoch: FLOOR + 1 },
  );
});

t.test('second restore before the claim', async (t) => {
  // Guards against a holder that adopts the table of the first restore as what it held.
  const run = await startHolder(t);
  await restore(run, createRangeTable('s', [ownerB!]));
  await restore(run, createRangeTable('s', [ownerB!]));
  await run.lease(1, 12_000, 1);
  t.equal(listRowsOf(run.table(), 'a').length, 0, 'a lease of the first restore claims nothing');
  await run.lease(1, 12_000, 2);
  t.match(listRowsOf(run.table(), 'a'), [{ from: 0, to: 32_767, epoch: computeTokenFloor(2) }]);
});

t.test('second restore after the claim', async (t) => {
  const run = await startHolder(t);
  await restore(run, createRangeTable('s', [ownerB!]));
  await run.lease(1, 12_000, 1);
  await run.checkIn([fullRow]);
  await restore(run, createRangeTable('s', [ownerB!]));
  t.match(run.served, [{ from: 0, to: 32_767 }]);
  await run.lease(1, 12_000, 2);
  t.match(listRowsOf(run.table(), 'a'), [{ from: 0, to: 32_767, epoch: computeTokenFloor(2) }]);
});

t.test('rows of a table that was not fenced are not kept', async (t) => {
  // A late write of a former run of the daemon may have given the keys away before the restore.
  const run = startRun(t);
  await run.store.get('ranges', 's');
  await run.view(servers, table);
  run.store.faultMode = 'down';
  await run.lease(1);
  await run.checkIn([]);
  run.store.faultMode = 'none';
  await restore(run, createRangeTable('s', [ownerB!]));
  await run.lease(1, 12_000, 1);
  await advance(run, 1_000);
  t.equal(listRowsOf(run.table(), 'a').length, 0);
});

t.test('lease of the first restore claims nothing after the second', async (t) => {
  // The second restore has lost that lease, and a planner may see none.
  const run = await startHolder(t);
  await restore(run, createRangeTable('s', [ownerB!]));
  run.store.faultMode = 'down';
  await run.lease(1, 12_000, 1);
  run.store.faultMode = 'none';
  await restore(run, createRangeTable('s', [ownerB!]));
  await advance(run, 1_000);
  t.equal(listRowsOf(run.table(), 'a').length, 0);
});

t.test('table of the earlier era is not adopted after the restore', async (t) => {
  // Guards against a former owner that grants keys by a view which was under way during the restore.
  const run = startRun(t);
  await run.store.get('ranges', 's');
  await run.view(servers, transferRanges(table, [{ ...fullRow, owner: ownerB!, handover: '' }]));
  await run.lease(1);
  await run.checkIn([]);
  await restore(run, undefined);
  await run.view(servers);
  const later = rangeTableCodec.encode(createRangeTable('s', [ownerA!], FLOOR));
  const tables = new Map([['s', { table: rangeTableCodec.decode(later).unsafeCoerce(), revision: 900 }]]);
  run.task.post({ type: 'view', view: { ...createView(servers, {}, undefined, true), tables } });
  await run.lease(1, 60_000, 1);
  t.notMatch(await run.checkIn([]), { rows: [{}] });
});
