import t from 'tap';
import type { BackendResult } from '#mesh/BackendResult.js';
import { createRangeTable } from '#ranges/CreateRangeTable.js';
import { createEntry } from './CreateEntry.js';
import { createView } from './CreateView.js';
import { EntryRun } from './EntryRun.js';

const two = [createEntry('a'), createEntry('b')];
const refused: BackendResult = {
  type: 'refused',
  code: 'full',
  retryAfterMs: 100,
  load: undefined,
  arrived: false,
};
const lost: BackendResult = { type: 'lost', code: 'connectionLost', load: undefined };

function answered(status: number): BackendResult {
  return { type: 'answered', response: { status, headers: [], body: Buffer.from('x') }, load: undefined };
}

t.test('requests are not answered with 404 without a configuration', async (t) => {
  const run = new EntryRun();
  await run.arrive('1');
  t.match(run.replies, [{ status: 503, code: 'noConfiguration' }]);
});

t.test('request that is not idempotent is not retried after a loss', async (t) => {
  const run = new EntryRun(createView(two, { idempotent: false }));
  await run.arrive('1');
  await run.complete(lost);
  t.equal(run.sent.length, 1);
  t.match(run.replies, [{ status: 502 }], 'the reply does not state that it has not run');
});

t.test('idempotent request is retried at another server', async (t) => {
  const run = new EntryRun(createView(two));
  await run.arrive('1');
  await run.complete(lost);
  t.equal(run.sent.length, 2);
  t.not(run.sent[0]?.server.serverId, run.sent[1]?.server.serverId);
  await run.complete(answered(200));
  t.match(run.replies, [{ type: 'answer', response: { status: 200 } }]);
});

t.test('attempts are limited by the route', async (t) => {
  const run = new EntryRun(createView([...two, createEntry('c')]));
  await run.arrive('1');
  await run.complete(lost);
  await run.complete(lost);
  t.equal(run.sent.length, 2);
  t.match(run.replies, [{ status: 502 }]);
});

t.test('error response is forwarded if no retry succeeds', async (t) => {
  const run = new EntryRun(createView(two));
  await run.arrive('1');
  await run.complete(answered(500));
  await run.complete(refused);
  t.match(run.replies, [{ type: 'answer', response: { status: 500 } }], 'not as a refusal');
});

t.test('refused request is sent to the next server', async (t) => {
  const run = new EntryRun(createView(two, { idempotent: false }));
  await run.arrive('1');
  await run.complete(refused);
  t.equal(run.sent.length, 2);
  await run.complete(refused);
  t.match(run.replies, [{ status: 503, code: 'full' }]);
  t.ok((run.replies[0] as { retryAfterMs: number }).retryAfterMs >= 100);
});

t.test('route time is kept', async (t) => {
  const run = new EntryRun(createView(two, { idempotent: false, timeoutMs: 400 }));
  await run.arrive('1');
  await run.advance(400);
  t.match(run.replies, [{ status: 504 }]);
  await run.complete(answered(200));
  t.equal(run.replies.length, 1, 'a late response is dropped');
});

t.test('request is resent to the same daemon after a lost session', async (t) => {
  const run = new EntryRun(createView(two, { idempotent: false }));
  await run.arrive('1');
  await run.complete({ type: 'lost', code: 'peerLost', load: undefined });
  t.equal(run.sent.length, 2);
  t.equal(run.sent[1]?.server.serverId, run.sent[0]?.server.serverId);
  t.equal(run.sent[1]?.request.resumes, run.sent[0]?.server.processId);
});

t.test('request of a caller that left is cancelled', async (t) => {
  const run = new EntryRun(createView(two));
  const exchange = await run.arrive('1');
  run.task.post({ type: 'left', exchange });
  await run.settle();
  t.same(run.cancelled, ['1']);
  t.equal(run.replies.length, 0);
});

t.test('request is not served outside its home regions', async (t) => {
  const run = new EntryRun(createView([createEntry('a', { region: 'q' })], { homeRegions: ['r'] }));
  await run.arrive('1');
  t.equal(run.sent.length, 0);
  t.match(run.replies, [{ status: 503 }]);
});

t.test('evacuated domain receives no requests', async (t) => {
  const view = createView([createEntry('a', { failureDomain: 'x' }), createEntry('b')]);
  const run = new EntryRun({ ...view, evacuated: new Set(['x']) });
  for (const id of ['1', '2', '3', '4']) await run.arrive(id);
  t.ok(run.sent.every(({ server }) => server.serverId === 'b'));
});

t.test('keyed request is sent to its owner', async (t) => {
  const table = createRangeTable('s', [
    { serverId: 'a', term: 1, incarnation: 'a/1' },
    { serverId: 'b', term: 1, incarnation: 'b/1' },
  ]);
  const run = new EntryRun(createView(two, {}, table));
  await run.arrive('1', 65_535);
  t.equal(run.sent[0]?.server.serverId, 'b');
});

t.test('keyed request waits for the next owner', async (t) => {
  const table = createRangeTable('s', [{ serverId: 'a', term: 1, incarnation: 'a/1' }]);
  const run = new EntryRun(createView(two, {}, table));
  await run.arrive('1', 5);
  await run.complete({ ...refused, code: 'notOwner' });
  t.equal(run.replies.length, 0, 'not refused at once');
  const moved = createRangeTable('s', [{ serverId: 'b', term: 1, incarnation: 'b/1' }]);
  const view = createView(two, {}, moved);
  run.task.post({ type: 'view', view: { ...view, tables: new Map([['s', { table: moved, revision: 2 }]]) } });
  await run.settle();
  t.equal(run.sent.at(-1)?.server.serverId, 'b');
});

t.test('keyed request waits longer while its key moves', async (t) => {
  // Callers were refused during each move of a hot key, though its next owner had it half a second later.
  const table = createRangeTable('s', [{ serverId: 'a', term: 1, incarnation: 'a/1' }]);
  const run = new EntryRun(createView(two, {}, table));
  await run.arrive('1', 5);
  await run.complete({ ...refused, code: 'moving', retryAfterMs: 0 });
  await run.advance(250);
  t.equal(run.replies.length, 0);
  t.equal(run.sent.length, 1, 'the previous owner is not asked again at once');
  const moved = createRangeTable('s', [{ serverId: 'b', term: 1, incarnation: 'b/1' }]);
  const view = createView(two, {}, moved);
  run.task.post({ type: 'view', view: { ...view, tables: new Map([['s', { table: moved, revision: 2 }]]) } });
  await run.settle();
  t.equal(run.sent.at(-1)?.server.serverId, 'b');
  await run.complete(answered(200));
  t.match(run.replies, [{ type: 'answer' }]);
});

t.test('full owner of a key is not asked again', async (t) => {
  // Further attempts delayed the reply, used up the time left, and counted as load of the key.
  const table = createRangeTable('s', [{ serverId: 'a', term: 1, incarnation: 'a/1' }]);
  const run = new EntryRun(createView(two, {}, table));
  await run.arrive('1', 5);
  await run.complete(refused);
  t.match(run.replies, [{ status: 503, code: 'full' }]);
  t.equal((run.replies[0] as { retryAfterMs: number }).retryAfterMs, 100);
});

t.test('keyed request without an owner is refused in time', async (t) => {
  const table = createRangeTable('s', [{ serverId: 'gone', term: 1, incarnation: 'x' }]);
  const run = new EntryRun(createView(two, {}, table));
  await run.arrive('1', 5);
  for (let index = 0; index < 10; index += 1) await run.advance(40);
  t.match(run.replies, [{ status: 503 }]);
});

t.test('request for a key of a lost owner is refused at once with the time until the next one', async (t) => {
  // Guards against requests that wait for keys which nobody can serve, and callers that return too early again and again.
  const table = createRangeTable('s', [{ serverId: 'a', term: 1, incarnation: 'a/1' }]);
  const lostOwner = createEntry('a', { state: 'absent', keysFreeMs: 2_000 });
  const run = new EntryRun(createView([lostOwner, createEntry('b')], {}, table));
  await run.arrive('1', 5);
  t.match(run.replies, [{ status: 503, code: 'ownerLost' }]);
  const [reply] = run.replies;
  t.ok(reply?.type === 'refusal' && reply.retryAfterMs >= 2_000);
  t.equal(run.sent.length, 0);
});

t.test('request for a key of a lost owner waits for the next one if there is time', async (t) => {
  const table = createRangeTable('s', [{ serverId: 'a', term: 1, incarnation: 'a/1' }]);
  const servers = [createEntry('a', { state: 'absent', keysFreeMs: 300 }), createEntry('b')];
  const run = new EntryRun(createView(servers, {}, table));
  await run.arrive('1', 5);
  await run.advance(500);
  t.equal(run.replies.length, 0);
  const moved = createRangeTable('s', [{ serverId: 'b', term: 1, incarnation: 'b/1' }]);
  const view = createView(servers, {}, moved);
  run.task.post({ type: 'view', view: { ...view, tables: new Map([['s', { table: moved, revision: 2 }]]) } });
  await run.settle();
  t.equal(run.sent.at(-1)?.server.serverId, 'b');
});

t.test('impossible time of the next owner is ignored', async (t) => {
  // Guards against callers that are turned away for long because the clock of one VM is wrong.
  const table = createRangeTable('s', [{ serverId: 'a', term: 1, incarnation: 'a/1' }]);
  const run = new EntryRun(
    createView([createEntry('a', { state: 'absent', keysFreeMs: 60_000 }), createEntry('b')], {}, table),
  );
  await run.arrive('1', 5);
  t.equal(run.replies.length, 0);
  await run.advance(200);
  t.match(run.replies, [{ status: 503, code: 'noServer' }]);
});

t.test('unreachable daemon does not prove that a request has not run', async (t) => {
  // The request may have run when it was first sent; sending it to another server ran it twice.
  const run = new EntryRun(createView(two, { idempotent: false }));
  await run.arrive('1');
  await run.complete({ type: 'lost', code: 'peerLost', load: undefined });
  for (let index = 0; index < 3; index += 1) await run.complete({ ...refused, code: 'unreachable' });
  t.ok(run.sent.every(({ server }) => server.serverId === run.sent[0]?.server.serverId));
  t.match(run.replies, [{ status: 502 }]);
});

t.test('daemon that shuts down accepts no requests', async (t) => {
  // Callers without another daemon kept it busy until it was killed, and open requests were lost.
  const run = new EntryRun(createView(two));
  await run.arrive('1');
  run.task.post({ type: 'stopping' });
  await run.arrive('2');
  t.match(run.replies, [{ status: 503, code: 'stopping' }]);
  t.equal(run.sent.length, 1);
  await run.complete(answered(200));
  t.match(run.replies[1], { type: 'answer' }, 'an accepted request is answered');
});

t.test('request is refused at once while all servers are full', async (t) => {
  // Guards against callers that are held by one full server after the other.
  const run = new EntryRun(createView(two, { idempotent: false }));
  const load = { running: 4, queued: 40, slots: 4, waitMs: 900, serviceMs: 50, slowdown: 1 };
  await run.arrive('1');
  await run.complete({ ...refused, load });
  await run.complete({ ...refused, load });
  t.equal(run.sent.length, 2);
  await run.arrive('2');
  t.equal(run.sent.length, 2, 'not sent');
  t.match(run.replies[1], { status: 503, code: 'noCapacity' });
  await run.advance(1_100);
  await run.arrive('3');
  t.equal(run.sent.length, 3, 'sent once the outlook is old');
});

t.test('displaced request is not sent to another server', async (t) => {
  // Guards against holding a request that was displaced while other servers refuse it, too.
  const run = new EntryRun(createView(two, { idempotent: false }));
  await run.arrive('1');
  await run.complete({ ...refused, code: 'displaced' });
  t.equal(run.sent.length, 1);
  t.match(run.replies, [{ status: 503, code: 'displaced', retryAfterMs: 100 }]);
});

t.test('no time is stated if capacity is expected too late', async (t) => {
  // Guards against a time that is earlier than the capacity, and one after which callers have given up.
  const run = new EntryRun(createView(two, { timeoutMs: 1_000 }));
  await run.arrive('1');
  await run.complete({ ...refused, code: 'displaced', retryAfterMs: 600 });
  t.match(run.replies, [{ status: 503, retryAfterMs: 0 }]);
});

t.test('request whose copies were refused and lost is not resent to the server that refused', async (t) => {
  // Its refusal of the resent copy was reported as 503 although the other copy may have run.
  const run = new EntryRun(createView(two));
  await run.arrive('1');
  const other = run.sent[0]?.server.serverId === 'a' ? 'b' : 'a';
  const peerLost: BackendResult = { type: 'lost', code: 'peerLost', load: undefined };
  await run.complete(peerLost, { server: createEntry(other), result: peerLost, firstResult: refused });
  if (run.sent.length > 1) await run.complete(refused);
  t.equal(run.sent.length, 1);
  t.match(run.replies, [{ status: 502 }]);
});
