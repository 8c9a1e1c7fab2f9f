import t from 'tap';
import { createRangeTable } from '#ranges/CreateRangeTable.js';
import { listRowsOf } from '#ranges/ListRowsOf.js';
import { transferRanges } from '#ranges/TransferRanges.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';
import { createEntry } from './CreateEntry.js';
import { RangeRun } from './RangeRun.js';

const servers = [createEntry('a'), createEntry('b')];
const owners = servers.map(({ serverId, term, incarnation }) => ({ serverId, term, incarnation }));
const table = createRangeTable('s', owners);

/** Time after which no grant of a former run of the daemon is in force, in milliseconds. */
const INHERITED_MS = 7_500;

/** Time after which a live backend server has announced itself, in milliseconds. */
const LIVE_MS = 1_800;

const whole = { from: 0, to: 32_767, epoch: 1 };

function start(t: { readonly teardown: (close: () => unknown) => void }): RangeRun {
  const run = new RangeRun();
  t.teardown(() => run.task.stop());
  return run;
}

t.test('nothing is granted without a lease', async (t) => {
  const run = start(t);
  await run.view(servers, table);
  t.equal(await run.checkIn([]), undefined);
  await run.lease(1, 12_000);
  t.match(await run.checkIn([]), { rows: [{ from: 0, to: 32_767, epoch: 1 }] });
  await run.advance(11_900);
  t.equal(await run.checkIn([whole]), undefined, 'the lease is almost over');
});

t.test('grant gets shorter with the lease', async (t) => {
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 3_000);
  const grant = await run.checkIn([]);
  t.ok(grant !== 'held' && grant !== undefined && grant.holdMs < 3_000);
});

t.test('keys are divided once all have joined', async (t) => {
  const run = start(t);
  await run.lease(1, 60_000);
  await run.view([createEntry('a')]);
  await run.checkIn([]);
  await run.advance(1_000);
  await run.view(servers);
  await run.advance(1_000);
  t.equal(run.store.writes, 0, 'a server that just joined restarts the wait');
  for (let index = 0; index < 4; index += 1) await run.advance(250);
  await run.advance(500);
  t.equal(listRowsOf(run.table(), 'b').length, 1);
});

t.test('keys move only after a later announcement', async (t) => {
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(LIVE_MS);
  await run.checkIn([]);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.settle();
  t.equal(run.served[0]?.to, 32_767, 'served until the server was told');
  // This announcement was sent before the server received its first grant.
  t.match(await run.checkIn([]), { rows: [{ from: 0, to: 16_383 }] });
  t.equal(run.served[0]?.to, 16_383);
  t.equal(run.table().lastEpoch, 1, 'the server may still hold the keys');
  await run.checkIn([whole]);
  t.equal(run.table().lastEpoch, 1, 'it does hold them');
  await run.checkIn([{ from: 0, to: 16_383, epoch: 1 }], [{ from: 16_384, to: 32_767, handover: 'h' }]);
  t.match(
    run.table().rows.find(({ from }) => from === 16_384),
    { serverId: 'b', epoch: 2, handover: 'h' },
  );
});

t.test('keys of a silent server wait for the end of its grant', async (t) => {
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  run.task.post({ type: 'ended', incarnation: 'a/1', proven: false });
  await run.advance(5_000);
  t.equal(run.table().lastEpoch, 1);
  for (let index = 0; index < 24; index += 1) await run.advance(250);
  t.equal(listRowsOf(run.table(), 'a').length, 0);
});

t.test('keys of a dead server move at once', async (t) => {
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  run.task.post({ type: 'ended', incarnation: 'a/1', proven: true });
  await run.settle();
  t.equal(listRowsOf(run.table(), 'a').length, 0);
});

t.test('new run of the server gets a new epoch', async (t) => {
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  const grant = await run.checkIn([], [], 'a/2');
  t.match(grant, { rows: [{ from: 0, to: 32_767, epoch: 2 }] });
});

t.test('restarted daemon leaves the keys where they are', async (t) => {
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  t.match(await run.checkIn([whole]), { rows: [whole] });
  t.equal(run.table().lastEpoch, 1);
});

t.test('evacuation empties the server', async (t) => {
  const run = start(t);
  const there = [createEntry('a'), createEntry('b', { failureDomain: 'e' })];
  await run.view(there, table);
  await run.lease(1, 60_000);
  await run.advance(LIVE_MS);
  await run.checkIn([]);
  await run.view(there, table, ['d']);
  t.match(await run.checkIn([whole]), { rows: [] });
  await run.checkIn([], [{ from: 0, to: 32_767, handover: 'h' }]);
  t.equal(listRowsOf(run.table(), 'a').length, 0);
});

t.test('inherited grants outlast the end of a known run', async (t) => {
  // After a restart of the daemon an outdated announcement came first. The end of the run that it names freed the keys
  // of the later run, which held them from the former daemon.
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([whole]);
  run.task.post({ type: 'ended', incarnation: 'a/1', proven: true });
  await run.settle();
  t.equal(listRowsOf(run.table(), 'a').length, 1);
  await run.advance(INHERITED_MS);
  t.equal(listRowsOf(run.table(), 'a').length, 0);
});

t.test('lost reply of a write is settled by reading', async (t) => {
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  run.store.trouble = 'repliesLost';
  run.task.post({ type: 'ended', incarnation: 'a/1', proven: true });
  await run.settle();
  run.store.trouble = 'none';
  const { writes } = run.store;
  for (let index = 0; index < 4; index += 1) await run.advance(250);
  t.equal(run.store.writes, writes, 'not written twice');
  t.equal(listRowsOf(run.table(), 'a').length, 0);
});

t.test('answer is held for news', async (t) => {
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  let answers = 0;
  run.task.post({
    type: 'checkIn',
    checkIn: {
      incarnation: 'a/1',
      holds: [whole],
      released: [],
      leaving: false,
      slots: 4,
      reply: () => {
        answers += 1;
      },
    },
  });
  await run.settle();
  t.equal(answers, 0);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.settle();
  t.equal(answers, 1, 'the release reaches the server at once');
});

t.test('announcement during a release is answered at once', async (t) => {
  // A held answer kept the next announcement, which frees the keys, away for most of a second.
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.checkIn([whole]);
  let answers = 0;
  const reply = (): void => {
    answers += 1;
  };
  const checkIn = { incarnation: 'a/1', holds: [whole], released: [], leaving: false, slots: 4, reply };
  run.task.post({ type: 'checkIn', checkIn });
  await run.settle();
  t.equal(answers, 1);
});

t.test('owner with many rows receives no more', async (t) => {
  // Each move adds a row; rows beyond what an answer to an announcement carries are not granted.
  const run = start(t);
  const rows = Array.from({ length: 120 }, (_, index) => ({
    ...owners[index % 2]!,
    from: index * 500,
    to: index === 119 ? 65_535 : index * 500 + 499,
    epoch: 1,
    handover: '',
  }));
  await run.view(servers, { ...table, rows });
  await run.lease(1, 60_000);
  await run.checkIn([]);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.settle();
  t.equal(run.served.length, 60);
  await run.checkIn([]);
  t.equal(run.served.length, 60, 'nothing is released');
});

t.test('server that is back keeps its keys', async (t) => {
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  run.task.post({ type: 'ended', incarnation: 'a/1', proven: false });
  await run.settle();
  t.match(await run.checkIn([whole]), { rows: [whole] });
  await run.advance(20_000);
  t.equal(run.table().lastEpoch, 1);
});

t.test('late write of a former run moves no granted keys', async (t) => {
  // The former run had freed the keys and sent this write; the store carries it out once the next run grants them.
  const run = start(t);
  await run.view(servers, table);
  const { revision } = run.store.read('ranges', 's')!;
  await run.lease(1, 60_000);
  t.match(await run.checkIn([whole]), { rows: [whole] });
  const late = transferRanges(table, [{ from: 0, to: 32_767, owner: owners[1]!, handover: 'h' }]);
  const result = await run.store.put('ranges', 's', rangeTableCodec.encode(late), revision);
  t.match(result.extract(), { type: 'conflict' });
});

t.test('nothing is granted before the table is fenced', async (t) => {
  const run = start(t);
  await run.view(servers, table);
  run.store.trouble = 'down';
  await run.lease(1, 60_000);
  t.equal(await run.checkIn([whole]), undefined);
  run.store.trouble = 'none';
  await run.advance(250);
  t.match(await run.checkIn([whole]), { rows: [whole] });
});

t.test('owner without a lease takes no more keys', async (t) => {
  // Keys that were moved to a daemon cut off from the store were served by nobody until its term ended.
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 12_000);
  await run.checkIn([]);
  await run.advance(250);
  t.equal(run.facts?.accepts, true);
  await run.advance(12_000);
  await run.advance(250);
  t.equal(run.facts?.accepts, false);
});

t.test('announcement sent before a grant frees nothing', async (t) => {
  // A stalled daemon handled three announcements that had been sent before the first of them was answered with the keys.
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.checkIn([]);
  await run.checkIn([]);
  t.equal(run.table().lastEpoch, 1, 'the server may still take the first answer');
  await run.advance(1_000);
  await run.checkIn([{ from: 0, to: 16_383, epoch: 1 }]);
  t.equal(run.table().lastEpoch, 2);
});

t.test('outdated announcements free no inherited keys', async (t) => {
  // After a restart, announcements of a former run that held no keys freed those that the live run holds.
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([], [], 'a/1');
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.checkIn([], [], 'a/1');
  await run.advance(1_500);
  await run.checkIn([], [], 'a/1');
  t.equal(run.table().lastEpoch, 1);
});

t.test('outdated released rows free no inherited keys', async (t) => {
  // Held-up announcements told of a release before the live run was granted the keys again by the former daemon.
  const run = start(t);
  const released = [{ from: 16_384, to: 32_767, handover: 'h' }];
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([], released);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.checkIn([], released);
  await run.checkIn([], released);
  t.equal(run.table().lastEpoch, 1);
});

t.test('statement of an earlier release frees nothing', async (t) => {
  // Keys that came back and were released anew were free by the statement of their first release.
  const run = start(t);
  const there = [createEntry('a'), createEntry('b', { failureDomain: 'e' })];
  const kept = { from: 0, to: 24_575, epoch: 1 };
  const back = { from: 24_576, to: 32_767 };
  await run.view(there, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  const request = { to: 'b', workMsPerSecond: 0, share: 0.25, speedup: 1 };
  run.task.post({ type: 'release', requests: [request, request] });
  await run.checkIn([whole]);
  await run.checkIn([kept], [{ ...back, handover: 'h' }]);
  t.equal(run.table().lastEpoch, 2, 'the second piece is still held');
  const returned = transferRanges(run.table(), [{ ...back, owner: owners[0]!, handover: 'g' }]);
  await run.view(there, returned);
  t.match(await run.checkIn([kept]), { rows: [{ epoch: 1 }, { ...back, epoch: 3 }] });
  await run.view(there, returned, ['d']);
  await run.checkIn([kept]);
  await run.checkIn([kept]);
  t.equal(run.table().lastEpoch, 3, 'the server may still take the answer with the keys');
});

t.test('statement that is repeated frees nothing', async (t) => {
  // A backend server lists what it released until its announcement is acknowledged, also after the keys came back.
  const run = start(t);
  const there = [createEntry('a'), createEntry('b', { failureDomain: 'e' })];
  const kept = { from: 0, to: 24_575, epoch: 1 };
  const back = { from: 24_576, to: 32_767 };
  const released = [{ ...back, handover: 'h' }];
  await run.view(there, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  const request = { to: 'b', workMsPerSecond: 0, share: 0.25, speedup: 1 };
  run.task.post({ type: 'release', requests: [request, request] });
  await run.checkIn([whole]);
  await run.checkIn([kept], released);
  const returned = transferRanges(run.table(), [{ ...back, owner: owners[0]!, handover: 'g' }]);
  await run.view(there, returned);
  await run.checkIn([kept], released);
  await run.view(there, returned, ['d']);
  await run.checkIn([kept], released);
  await run.checkIn([kept], released);
  t.equal(run.table().lastEpoch, 3, 'the server may still take the answer with the keys');
});

t.test('table that cannot be read is not written in a loop', async (t) => {
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  run.store.set('ranges', 's', { odd: true });
  run.task.post({ type: 'ended', incarnation: 'a/1', proven: true });
  await run.settle();
  const { puts } = run.store;
  for (let index = 0; index < 100; index += 1) await run.settle();
  t.equal(run.store.puts, puts, 'no write until some time has passed');
  await run.advance(300);
  t.ok(run.store.puts > puts);
});

t.test('stopping daemon keeps its term while a grant lasts', async (t) => {
  // Another daemon would take over at once what the server beside the stopped one still holds.
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  await run.advance(7_000);
  t.equal(await run.task.ask<boolean>((reply) => ({ type: 'stopping', reply })), false);
  await run.advance(500);
  t.equal(await run.task.ask<boolean>((reply) => ({ type: 'stopping', reply })), true);
});

t.test('renewal after the stop grants nothing', async (t) => {
  // The reply to a renewal that was under way gave a stopping daemon its lease back.
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 12_000);
  await run.checkIn([whole]);
  await run.task.ask<boolean>((reply) => ({ type: 'stopping', reply }));
  await run.lease(1, 12_000);
  t.equal(await run.checkIn([whole]), undefined);
});

t.test('hot key alone in its row takes no others along', async (t) => {
  // The piece that was cut reached down to another hot key, over the rows of other owners.
  const run = start(t);
  const there = [...servers, createEntry('c')];
  const divided = createRangeTable('s', [owners[1]!, { serverId: 'c', term: 1, incarnation: 'c/1' }]);
  const alone = transferRanges(divided, [{ from: 26_984, to: 26_984, owner: owners[0]!, handover: '' }]);
  await run.view(there, alone);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  for (const [key, workMs] of [
    [1_560, 2_000],
    [9_000, 950],
    [26_984, 900],
    [60_000, 2_000],
  ] as const)
    run.task.post({ type: 'demanded', key, workMs });
  run.task.post({ type: 'release', requests: [{ to: 'c', workMsPerSecond: 800, share: 0, speedup: 1 }] });
  await run.checkIn([{ from: 26_984, to: 26_984, epoch: 2 }]);
  await run.checkIn([], [{ from: 26_984, to: 26_984, handover: 'h' }]);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  t.match(listRowsOf(run.table(), 'b'), [{ from: 0, to: 26_983 }, { from: 26_985 }]);
});

t.test('keys of other owners are not given away', async (t) => {
  // A release that outlived a takeover of some of its keys took them from their next owner.
  const run = start(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(LIVE_MS);
  await run.checkIn([]);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.settle();
  await run.checkIn([whole]);
  const there = [...servers, createEntry('c')];
  const owner = { serverId: 'c', term: 1, incarnation: 'c/1' };
  await run.view(there, transferRanges(table, [{ from: 20_000, to: 24_999, owner, handover: '' }]));
  const kept = { from: 0, to: 16_383, epoch: 1 };
  await run.checkIn([kept], [{ from: 16_384, to: 32_767, handover: 'h' }]);
  const rowAt = (key: number): unknown => run.table().rows.find(({ from, to }) => from <= key && to >= key);
  t.match(rowAt(20_000), { from: 20_000, to: 24_999, serverId: 'c', epoch: 2 });
  t.match(rowAt(19_999), { from: 16_384, to: 19_999, serverId: 'b', epoch: 3, handover: 'h' });
  t.match(rowAt(25_000), { from: 25_000, to: 32_767, serverId: 'b', epoch: 3, handover: 'h' });
});
