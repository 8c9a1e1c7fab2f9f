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

/** Time for which free keys wait for others that are being released, in milliseconds. */
const GATHER_MS = 120;

/** Time after which all grants of a former run of the daemon have expired, in milliseconds. */
const INHERITED_MS = 7_500;

/** Duration of an ordinary grant, in milliseconds. */
const ROUTINE_GRANT_MS = 3_100;

/** Time within which a live backend server has certainly announced itself, in milliseconds. */
const LIVE_MS = 1_800;

const fullRow = { from: 0, to: 32_767, epoch: 1 };

function startRun(t: { readonly teardown: (close: () => unknown) => void }): RangeRun {
  const run = new RangeRun();
  t.teardown(() => run.task.stop());
  return run;
}

t.test('nothing is granted without a lease', async (t) => {
  const run = startRun(t);
  await run.view(servers, table);
  t.equal(await run.checkIn([]), undefined);
  await run.lease(1, 12_000);
  t.match(await run.checkIn([]), { rows: [{ from: 0, to: 32_767, epoch: 1 }] });
  await run.advance(11_900);
  t.equal(await run.checkIn([fullRow]), undefined, 'the lease is about to expire');
});

t.test('grant ends before the lease', async (t) => {
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 3_000);
  const grant = await run.checkIn([]);
  t.ok(grant !== 'held' && grant !== undefined && grant.holdMs < 3_000);
});

t.test('table is created once no more servers join', async (t) => {
  const run = startRun(t);
  await run.lease(1, 60_000);
  await run.view([createEntry('a')]);
  await run.checkIn([]);
  await run.advance(1_000);
  await run.view(servers);
  await run.advance(1_000);
  t.equal(run.store.acceptedWrites, 0, 'a server that joins restarts the wait');
  for (let index = 0; index < 4; index += 1) await run.advance(250);
  await run.advance(500);
  t.equal(listRowsOf(run.table(), 'b').length, 1);
});

t.test('keys move only after the server announced their release', async (t) => {
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(LIVE_MS);
  await run.checkIn([]);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.settle();
  t.equal(run.served[0]?.to, 32_767, 'served until the server is told');
  // This announcement was sent before the server received its first grant.
  t.match(await run.checkIn([]), { rows: [{ from: 0, to: 16_383 }] });
  t.equal(run.served[0]?.to, 16_383);
  t.equal(run.table().lastEpoch, 1, 'the server may still hold the keys');
  await run.checkIn([fullRow]);
  t.equal(run.table().lastEpoch, 1, 'the server still holds the keys');
  await run.checkIn([{ from: 0, to: 16_383, epoch: 1 }], [{ from: 16_384, to: 32_767, handover: 'h' }]);
  t.match(
    run.table().rows.find(({ from }) => from === 16_384),
    { serverId: 'b', epoch: 2, handover: 'h' },
  );
});

t.test('keys of a silent server move only after its grant expired', async (t) => {
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  run.task.post({ type: 'ended', incarnation: 'a/1', reason: 'unreachable' });
  await run.advance(5_000);
  t.equal(run.table().lastEpoch, 1);
  for (let index = 0; index < 24; index += 1) await run.advance(250);
  t.equal(listRowsOf(run.table(), 'a').length, 0);
});

t.test('later run at the address frees no keys before the grant of the former one expired', async (t) => {
  // Guards against keys that another server gets while a run holds them that was replaced or only seemed to be.
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  run.task.post({ type: 'ended', incarnation: 'a/1', reason: 'replaced' });
  await run.settle();
  t.equal(listRowsOf(run.table(), 'a').length, 1);
  await run.advance(INHERITED_MS);
  t.equal(listRowsOf(run.table(), 'a').length, 0);
});

t.test('server that is not used gets no further grant', async (t) => {
  // Guards against a held reply that prolongs the time until the keys of a server that has ended can move.
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  const replies = await run.sendCheckIn([fullRow]);
  t.same(replies, [], 'the reply is held back');
  run.task.post({ type: 'ended', incarnation: 'a/1', reason: 'unreachable' });
  await run.settle();
  t.same(replies, [undefined]);
});

t.test('new run of the server gets a new epoch', async (t) => {
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  const grant = await run.checkIn([], [], 'a/2');
  t.match(grant, { rows: [{ from: 0, to: 32_767, epoch: 2 }] });
});

t.test('restarted daemon grants its keys with the same epoch', async (t) => {
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  t.match(await run.checkIn([fullRow]), { rows: [fullRow] });
  t.equal(run.table().lastEpoch, 1);
});

t.test('evacuated server releases all keys', async (t) => {
  const run = startRun(t);
  const there = [createEntry('a'), createEntry('b', { failureDomain: 'e' })];
  await run.view(there, table);
  await run.lease(1, 60_000);
  await run.advance(LIVE_MS);
  await run.checkIn([]);
  await run.view(there, table, ['d']);
  t.match(await run.checkIn([fullRow]), { rows: [] });
  await run.checkIn([], [{ from: 0, to: 32_767, handover: 'h' }]);
  t.equal(listRowsOf(run.table(), 'a').length, 0);
});

t.test('end of a known run does not end inherited grants', async (t) => {
  // After a restart of the daemon, the first announcement may be a delayed one of a former server run. Guards against the
  // end of that run freeing keys which the later run holds by a grant of the former daemon.
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([fullRow]);
  run.task.post({ type: 'ended', incarnation: 'a/1', reason: 'replaced' });
  await run.settle();
  t.equal(listRowsOf(run.table(), 'a').length, 1);
  await run.advance(INHERITED_MS);
  t.equal(listRowsOf(run.table(), 'a').length, 0);
});

t.test('write whose reply was lost is settled by reading the table', async (t) => {
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  run.store.faultMode = 'repliesLost';
  run.task.post({ type: 'ended', incarnation: 'a/1', reason: 'unreachable' });
  await run.advance(INHERITED_MS);
  run.store.faultMode = 'none';
  const { acceptedWrites: writes } = run.store;
  for (let index = 0; index < 4; index += 1) await run.advance(250);
  t.equal(run.store.acceptedWrites, writes, 'not written twice');
  t.equal(listRowsOf(run.table(), 'a').length, 0);
});

t.test('reply is held back until the keys change', async (t) => {
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  const replies = await run.sendCheckIn([fullRow]);
  t.equal(replies.length, 0);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.settle();
  t.equal(replies.length, 1, 'the release reaches the server at once');
});

t.test('announcement during a release gets its reply at once', async (t) => {
  // Guards against a held reply that delays the next announcement, which frees the keys, by most of a second.
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.checkIn([fullRow]);
  const replies = await run.sendCheckIn([fullRow]);
  t.equal(replies.length, 1);
});

t.test('owner with many rows receives no more for balance', async (t) => {
  // Each move adds a row, and rows beyond the maximum of a reply to an announcement are not granted.
  const run = startRun(t);
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

t.test('server that announces itself again keeps its keys', async (t) => {
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  run.task.post({ type: 'ended', incarnation: 'a/1', reason: 'unreachable' });
  await run.settle();
  t.match(await run.checkIn([fullRow]), { rows: [fullRow] });
  await run.advance(20_000);
  t.equal(run.table().lastEpoch, 1);
});

t.test('late write of a former run does not move granted keys', async (t) => {
  // The former run had freed the keys and sent this write, but the store carries it out after the next run granted them.
  const run = startRun(t);
  await run.view(servers, table);
  const { revision } = run.store.read('ranges', 's')!;
  await run.lease(1, 60_000);
  t.match(await run.checkIn([fullRow]), { rows: [fullRow] });
  const late = transferRanges(table, [{ from: 0, to: 32_767, owner: owners[1]!, handover: 'h' }]);
  const result = await run.store.put('ranges', 's', rangeTableCodec.encode(late), revision);
  t.match(result.extract(), { type: 'conflict' });
});

t.test('nothing is granted before the table is fenced', async (t) => {
  const run = startRun(t);
  await run.view(servers, table);
  run.store.faultMode = 'down';
  await run.lease(1, 60_000);
  t.equal(await run.checkIn([fullRow]), undefined);
  run.store.faultMode = 'none';
  await run.advance(250);
  t.match(await run.checkIn([fullRow]), { rows: [fullRow] });
});

t.test('owner without a lease accepts no more keys', async (t) => {
  // Guards against moving keys to a daemon that cannot reach the store, where nobody serves them until its term ends.
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 12_000);
  await run.checkIn([]);
  await run.advance(250);
  t.equal(run.facts?.accepts, true);
  await run.advance(12_000);
  await run.advance(250);
  t.equal(run.facts?.accepts, false);
});

t.test('announcement sent before a grant frees no keys', async (t) => {
  // A stalled daemon handles three announcements that were sent before the server received the first reply with the keys.
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.checkIn([]);
  await run.checkIn([]);
  t.equal(run.table().lastEpoch, 1, 'the server may still receive the first reply');
  await run.advance(1_000);
  await run.checkIn([{ from: 0, to: 16_383, epoch: 1 }]);
  t.equal(run.table().lastEpoch, 2);
});

t.test('announcements of a former run free no inherited keys', async (t) => {
  // Guards against delayed announcements of a former run without keys, which free the keys of the live run.
  const run = startRun(t);
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
  // Delayed announcements may list keys as released which the former daemon has granted to the server again since then.
  const run = startRun(t);
  const released = [{ from: 16_384, to: 32_767, handover: 'h' }];
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([], released);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.checkIn([], released);
  await run.checkIn([], released);
  t.equal(run.table().lastEpoch, 1);
});

t.test('row of an earlier release frees no keys', async (t) => {
  // Guards against keys that returned and are released again, but were freed by the released row of their first release.
  const run = startRun(t);
  const there = [createEntry('a'), createEntry('b', { failureDomain: 'e' })];
  const kept = { from: 0, to: 24_575, epoch: 1 };
  const back = { from: 24_576, to: 32_767 };
  await run.view(there, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  const request = { to: 'b', workMsPerSecond: 0, share: 0.25, speedup: 1 };
  run.task.post({ type: 'release', requests: [request, request] });
  await run.checkIn([fullRow]);
  await run.checkIn([kept], [{ ...back, handover: 'h' }]);
  await run.advance(GATHER_MS);
  t.equal(run.table().lastEpoch, 2, 'the second range is still held');
  const returned = transferRanges(run.table(), [{ ...back, owner: owners[0]!, handover: 'g' }]);
  await run.view(there, returned);
  t.match(await run.checkIn([kept]), { rows: [{ epoch: 1 }, { ...back, epoch: 3 }] });
  await run.view(there, returned, ['d']);
  await run.checkIn([kept]);
  await run.checkIn([kept]);
  t.equal(run.table().lastEpoch, 3, 'the server may still receive the reply with the keys');
});

t.test('repeated row of an earlier release frees no keys', async (t) => {
  // A backend server repeats its released rows until an announcement is acknowledged, even after the keys have returned.
  const run = startRun(t);
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
  await run.checkIn([fullRow]);
  await run.checkIn([kept], released);
  await run.advance(GATHER_MS);
  const returned = transferRanges(run.table(), [{ ...back, owner: owners[0]!, handover: 'g' }]);
  await run.view(there, returned);
  await run.checkIn([kept], released);
  await run.view(there, returned, ['d']);
  await run.checkIn([kept], released);
  await run.checkIn([kept], released);
  t.equal(run.table().lastEpoch, 3, 'the server may still receive the reply with the keys');
});

t.test('keys that are released one after the other move by one write', async (t) => {
  // Each write of the table reaches all daemons, which costs a store call of each.
  const run = startRun(t);
  const there = [createEntry('a'), createEntry('b', { failureDomain: 'e' })];
  const kept = { from: 0, to: 24_575, epoch: 1 };
  const first = { from: 24_576, to: 32_767, handover: 'h' };
  const second = { from: 18_432, to: 24_575, handover: 'i' };
  await run.view(there, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  const request = { to: 'b', workMsPerSecond: 0, share: 0.25, speedup: 1 };
  run.task.post({ type: 'release', requests: [request, request] });
  await run.checkIn([fullRow]);
  await run.checkIn([kept], [first]);
  t.equal(run.table().lastEpoch, 1, 'waits for the second range');
  await run.advance(GATHER_MS / 2);
  await run.checkIn([{ ...kept, to: 18_431 }], [first, second]);
  t.equal(run.table().lastEpoch, 2);
  t.match(run.table().rows, [
    { to: 18_431, serverId: 'a' },
    { from: 18_432, serverId: 'b', epoch: 2 },
    { from: 24_576, to: 32_767, serverId: 'b', epoch: 2 },
  ]);
});

t.test('malformed stored table does not cause writes in a loop', async (t) => {
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  run.store.set('ranges', 's', { odd: true });
  run.task.post({ type: 'ended', incarnation: 'a/1', reason: 'unreachable' });
  await run.advance(INHERITED_MS);
  const { putCalls: puts } = run.store;
  for (let index = 0; index < 100; index += 1) await run.settle();
  t.equal(run.store.putCalls, puts, 'no write until some time has passed');
  await run.advance(300);
  t.ok(run.store.putCalls > puts);
});

t.test('stopping daemon keeps its term while a grant lasts', async (t) => {
  // Otherwise another daemon would take over keys at once which the backend server beside the stopped daemon still holds.
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  await run.advance(ROUTINE_GRANT_MS);
  t.equal(await run.task.ask<boolean>((reply) => ({ type: 'stopping', reply })), false);
  await run.advance(500);
  t.equal(await run.task.ask<boolean>((reply) => ({ type: 'stopping', reply })), true);
});

t.test('live server keeps its keys if a reply is lost', async (t) => {
  // Guards against grants that are too short: a reply comes up to 800 ms after its announcement.
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  const announceEveryMs = 900;
  const startMs = run.clock.monotonicMs();
  t.match(await run.checkIn([]), { holdMs: ROUTINE_GRANT_MS });
  await run.advance(startMs + announceEveryMs - run.clock.monotonicMs());
  await run.sendCheckIn([fullRow]);
  await run.advance(announceEveryMs);
  const replies = await run.sendCheckIn([fullRow]);
  while (replies.length === 0) await run.advance(10);
  t.match(replies, [{ rows: [fullRow] }]);
  t.ok(run.clock.monotonicMs() - startMs < ROUTINE_GRANT_MS, 'the first grant is still in force');
});

t.test('grants of a daemon that is asked to stop outlast its restart', async (t) => {
  // Guards against a server that loses its keys in each planned restart of its daemon.
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  const open = run.checkIn([fullRow]);
  run.task.post({ type: 'stopRequested' });
  t.match(await open, { rows: [fullRow], holdMs: 7_000 });
  t.match(await run.checkIn([fullRow]), { holdMs: 7_000 });
});

t.test('keys of an unreachable server move when its grant ends', async (t) => {
  // Guards against keys that stay unserved longer than the server may hold them.
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(INHERITED_MS);
  await run.checkIn([]);
  run.task.post({ type: 'ended', incarnation: 'a/1', reason: 'unreachable' });
  await run.settle();
  t.match(run.unreachable, { incarnation: 'a/1' });
  const announcedMs = INHERITED_MS;
  t.ok((run.unreachable?.keysFreeMs ?? 0) >= announcedMs + ROUTINE_GRANT_MS * 1.02);
  await run.advance(ROUTINE_GRANT_MS * 1.02);
  t.equal(listRowsOf(run.table(), 'a').length, 1, 'the clock of the server may run slow');
  await run.advance(100);
  t.equal(listRowsOf(run.table(), 'a').length, 0);
  t.ok(run.clock.wallMs() >= (run.unreachable?.keysFreeMs ?? 0), 'the announced time is not too early');
});

t.test('leaving server that refuses connections is still told to release its keys', async (t) => {
  // Guards against keys that wait for the end of the grant, as a leaving server may close its port early.
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  const open = run.checkIn([fullRow], [], 'a/1', true);
  run.task.post({ type: 'ended', incarnation: 'a/1', reason: 'unreachable' });
  t.match(await open, { rows: [] });
  t.equal(run.unreachable, undefined);
});

t.test('repeated evidence does not change the announced time', async (t) => {
  // Guards against a write of the entry for each connection that fails.
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.checkIn([]);
  run.task.post({ type: 'ended', incarnation: 'a/1', reason: 'unreachable' });
  await run.settle();
  const first = run.unreachable;
  await run.advance(50);
  run.task.post({ type: 'ended', incarnation: 'a/1', reason: 'unreachable' });
  await run.settle();
  t.equal(run.unreachable, first);
});

t.test('renewal after the stop grants no keys', async (t) => {
  // Guards against the reply to a renewal in progress, which returned the lease to a stopping daemon.
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 12_000);
  await run.checkIn([fullRow]);
  await run.task.ask<boolean>((reply) => ({ type: 'stopping', reply }));
  await run.lease(1, 12_000);
  t.equal(await run.checkIn([fullRow]), undefined);
});

t.test('move of a hot key in its own row moves no other keys', async (t) => {
  // Guards against a range that extends down to another hot key across the rows of other owners.
  const run = startRun(t);
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

t.test('release does not transfer keys of other owners', async (t) => {
  // Guards against a release that ends after a takeover of some of its keys and takes them from their next owner.
  const run = startRun(t);
  await run.view(servers, table);
  await run.lease(1, 60_000);
  await run.advance(LIVE_MS);
  await run.checkIn([]);
  run.task.post({ type: 'release', requests: [{ to: 'b', workMsPerSecond: 0, share: 0.5, speedup: 1 }] });
  await run.settle();
  await run.checkIn([fullRow]);
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
