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
  return { type: 'answered', answer: { status, headers: [], body: Buffer.from('x') }, load: undefined };
}

t.test('without configuration nothing is 404', async (t) => {
  const run = new EntryRun();
  await run.arrive('1');
  t.match(run.replies, [{ status: 503, code: 'noConfiguration' }]);
});

t.test('unsafe request is not repeated after a loss', async (t) => {
  const run = new EntryRun(createView(two, { idempotent: false }));
  await run.arrive('1');
  await run.answer(lost);
  t.equal(run.sent.length, 1);
  t.match(run.replies, [{ status: 502 }], 'nothing is promised');
});

t.test('safe request is repeated elsewhere', async (t) => {
  const run = new EntryRun(createView(two));
  await run.arrive('1');
  await run.answer(lost);
  t.equal(run.sent.length, 2);
  t.not(run.sent[0]?.server.serverId, run.sent[1]?.server.serverId);
  await run.answer(answered(200));
  t.match(run.replies, [{ type: 'answer', answer: { status: 200 } }]);
});

t.test('attempts are limited by the route', async (t) => {
  const run = new EntryRun(createView([...two, createEntry('c')]));
  await run.arrive('1');
  await run.answer(lost);
  await run.answer(lost);
  t.equal(run.sent.length, 2);
  t.match(run.replies, [{ status: 502 }]);
});

t.test('failure of the last attempt passes unchanged', async (t) => {
  const run = new EntryRun(createView(two));
  await run.arrive('1');
  await run.answer(answered(500));
  await run.answer(refused);
  t.match(run.replies, [{ type: 'answer', answer: { status: 500 } }], 'never as not run');
});

t.test('refusals lead to the next server', async (t) => {
  const run = new EntryRun(createView(two, { idempotent: false }));
  await run.arrive('1');
  await run.answer(refused);
  t.equal(run.sent.length, 2);
  await run.answer(refused);
  t.match(run.replies, [{ status: 503, code: 'full' }]);
  t.ok((run.replies[0] as { retryAfterMs: number }).retryAfterMs >= 100);
});

t.test('route time is kept', async (t) => {
  const run = new EntryRun(createView(two, { idempotent: false, timeoutMs: 400 }));
  await run.arrive('1');
  await run.advance(400);
  t.match(run.replies, [{ status: 504 }]);
  await run.answer(answered(200));
  t.equal(run.replies.length, 1, 'a late answer reaches no one');
});

t.test('lost session is continued at the same daemon', async (t) => {
  const run = new EntryRun(createView(two, { idempotent: false }));
  await run.arrive('1');
  await run.answer({ type: 'lost', code: 'peerLost', load: undefined });
  t.equal(run.sent.length, 2);
  t.equal(run.sent[1]?.server.serverId, run.sent[0]?.server.serverId);
  t.equal(run.sent[1]?.order.resumes, run.sent[0]?.server.processId);
});

t.test('caller that left is cancelled', async (t) => {
  const run = new EntryRun(createView(two));
  const exchange = await run.arrive('1');
  run.task.post({ type: 'left', exchange });
  await run.settle();
  t.same(run.cancelled, ['1']);
  t.equal(run.replies.length, 0);
});

t.test('home regions bind', async (t) => {
  const run = new EntryRun(createView([createEntry('a', { region: 'q' })], { homeRegions: ['r'] }));
  await run.arrive('1');
  t.equal(run.sent.length, 0);
  t.match(run.replies, [{ status: 503 }]);
});

t.test('evacuated domain gets nothing', async (t) => {
  const view = createView([createEntry('a', { failureDomain: 'x' }), createEntry('b')]);
  const run = new EntryRun({ ...view, evacuated: new Set(['x']) });
  for (const id of ['1', '2', '3', '4']) await run.arrive(id);
  t.ok(run.sent.every(({ server }) => server.serverId === 'b'));
});

t.test('key goes to its owner', async (t) => {
  const table = createRangeTable('s', [
    { serverId: 'a', term: 1, incarnation: 'a/1' },
    { serverId: 'b', term: 1, incarnation: 'b/1' },
  ]);
  const run = new EntryRun(createView(two, {}, table));
  await run.arrive('1', 65_535);
  t.equal(run.sent[0]?.server.serverId, 'b');
});

t.test('key waits for its next owner', async (t) => {
  const table = createRangeTable('s', [{ serverId: 'a', term: 1, incarnation: 'a/1' }]);
  const run = new EntryRun(createView(two, {}, table));
  await run.arrive('1', 5);
  await run.answer({ ...refused, code: 'notOwner' });
  t.equal(run.replies.length, 0, 'held for a while');
  const moved = createRangeTable('s', [{ serverId: 'b', term: 1, incarnation: 'b/1' }]);
  const view = createView(two, {}, moved);
  run.task.post({ type: 'view', view: { ...view, tables: new Map([['s', { table: moved, revision: 2 }]]) } });
  await run.settle();
  t.equal(run.sent.at(-1)?.server.serverId, 'b');
});

t.test('key on the move is waited for longer', async (t) => {
  // Callers were refused during each move of a hot key, though the next owner had it half a second later.
  const table = createRangeTable('s', [{ serverId: 'a', term: 1, incarnation: 'a/1' }]);
  const run = new EntryRun(createView(two, {}, table));
  await run.arrive('1', 5);
  await run.answer({ ...refused, code: 'moving', retryAfterMs: 0 });
  await run.advance(250);
  t.equal(run.replies.length, 0);
  t.equal(run.sent.length, 1, 'the old owner is not asked again at once');
  const moved = createRangeTable('s', [{ serverId: 'b', term: 1, incarnation: 'b/1' }]);
  const view = createView(two, {}, moved);
  run.task.post({ type: 'view', view: { ...view, tables: new Map([['s', { table: moved, revision: 2 }]]) } });
  await run.settle();
  t.equal(run.sent.at(-1)?.server.serverId, 'b');
  await run.answer(answered(200));
  t.match(run.replies, [{ type: 'answer' }]);
});

t.test('full owner of a key is not asked again', async (t) => {
  // The second and third question held the caller, took the time that it had left, and counted as load of the key.
  const table = createRangeTable('s', [{ serverId: 'a', term: 1, incarnation: 'a/1' }]);
  const run = new EntryRun(createView(two, {}, table));
  await run.arrive('1', 5);
  await run.answer(refused);
  t.match(run.replies, [{ status: 503, code: 'full' }]);
  t.equal((run.replies[0] as { retryAfterMs: number }).retryAfterMs, 100);
});

t.test('key without owner is refused in time', async (t) => {
  const table = createRangeTable('s', [{ serverId: 'gone', term: 1, incarnation: 'x' }]);
  const run = new EntryRun(createView(two, {}, table));
  await run.arrive('1', 5);
  for (let index = 0; index < 10; index += 1) await run.advance(40);
  t.match(run.replies, [{ status: 503 }]);
});

t.test('daemon that cannot be asked again proves nothing', async (t) => {
  // The order may have run in the send before; offering it to another server ran it twice.
  const run = new EntryRun(createView(two, { idempotent: false }));
  await run.arrive('1');
  await run.answer({ type: 'lost', code: 'peerLost', load: undefined });
  for (let index = 0; index < 3; index += 1) await run.answer({ ...refused, code: 'unreachable' });
  t.ok(run.sent.every(({ server }) => server.serverId === run.sent[0]?.server.serverId));
  t.match(run.replies, [{ status: 502 }]);
});

t.test('daemon that ends passes nothing on', async (t) => {
  // Callers that had no other daemon kept it busy until it was killed with their requests at work.
  const run = new EntryRun(createView(two));
  await run.arrive('1');
  run.task.post({ type: 'stopping' });
  await run.arrive('2');
  t.match(run.replies, [{ status: 503, code: 'stopping' }]);
  t.equal(run.sent.length, 1);
  await run.answer(answered(200));
  t.match(run.replies[1], { type: 'answer' }, 'what was passed on is answered');
});
