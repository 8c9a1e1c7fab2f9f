import t from 'tap';
import { createRangeTable } from '#ranges/CreateRangeTable.js';
import { createEntry } from './CreateEntry.js';
import { createOrder } from './CreateOrder.js';
import { createView } from './CreateView.js';
import { EntryRun } from './EntryRun.js';
import { formatAnswer } from './FormatAnswer.js';
import { startServerTask } from './StartServerTask.js';

const levy = createOrder('1', { idempotent: false });
const repeat = { ...levy, resumes: 'p1', copy: 2 };

t.test('late copy of an order that was refused when sent again does not run', async (t) => {
  // The session that broke delivered it after all, while the order ran at another server.
  const { run, announce, server } = await startServerTask(t, ({ id, socket }) =>
    socket.write(formatAnswer(id)),
  );
  announce({ state: 'draining', leavingMs: performance.now() });
  t.match(await run(repeat), { type: 'refused', code: 'draining' });
  announce({});
  t.match(await run(levy), { type: 'refused', arrived: false });
  t.equal(server.requests.length, 0);
});

t.test('late repeat of an order that was refused when sent once more does not run', async (t) => {
  const { run, announce, server } = await startServerTask(t, ({ id, socket }) =>
    socket.write(formatAnswer(id)),
  );
  announce({ state: 'draining', leavingMs: performance.now() });
  t.match(await run({ ...repeat, copy: 3 }), { type: 'refused', code: 'draining' });
  announce({});
  t.match(await run(repeat), { type: 'refused', arrived: false });
  t.equal(server.requests.length, 0);
});

t.test('order that was refused when sent again can be offered anew', async (t) => {
  const { run, announce, server } = await startServerTask(t, ({ id, socket }) =>
    socket.write(formatAnswer(id)),
  );
  announce({ state: 'draining', leavingMs: performance.now() });
  t.match(await run(repeat), { type: 'refused', code: 'draining' });
  announce({});
  t.match(await run({ ...levy, copy: 3 }), { type: 'answered' });
  t.match(await run(levy), { type: 'answered' }, 'a late copy joins it');
  t.equal(server.requests.length, 1);
});

t.test('order sent again after the refusal of its first offer is not refused for that', async (t) => {
  // The refusal that was kept is that of the first offer; the second one may still arrive and run.
  let refuses = true;
  const { run, server } = await startServerTask(t, ({ id, socket }) => {
    socket.write(formatAnswer(id, refuses ? '503 No' : '200 OK', '', refuses ? 'X-Not-Run: 1\r\n' : ''));
    refuses = false;
  });
  t.match(await run(levy), { type: 'refused', code: 'shed' });
  t.match(await run(repeat), { type: 'answered' });
  t.match(await run(levy), { type: 'answered' });
  t.equal(server.requests.length, 2);
});

t.test('copies of an order are numbered', async (t) => {
  const table = createRangeTable('s', [{ serverId: 'a', term: 1, incarnation: 'a/1' }]);
  const run = new EntryRun(createView([createEntry('a')], { idempotent: false }, table));
  const refused = {
    type: 'refused',
    code: 'moving',
    retryAfterMs: 0,
    load: undefined,
    arrived: false,
  } as const;
  await run.arrive('1', 7);
  await run.answer({ type: 'lost', code: 'peerLost', load: undefined });
  await run.answer(refused);
  await run.advance(350);
  t.same(
    run.sent.map(({ order }) => [order.copy, order.resumes]),
    [
      [1, ''],
      [2, 'p-a'],
      [3, ''],
    ],
  );
});
