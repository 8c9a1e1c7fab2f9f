import t from 'tap';
import { createRangeTable } from '#ranges/CreateRangeTable.js';
import { createEntry } from './CreateEntry.js';
import { createTestRequest } from './CreateTestRequest.js';
import { createView } from './CreateView.js';
import { EntryRun } from './EntryRun.js';
import { formatResponse } from './FormatResponse.js';
import { startServerTask } from './StartServerTask.js';

const first = createTestRequest('1', { idempotent: false });
const resent = { ...first, resumes: 'p1', copy: 2 };

t.test('late copy does not run if the resent request was refused', async (t) => {
  // The broken session still delivered the first copy while the request ran at another server.
  const { run, announce, server } = await startServerTask(t, ({ id, socket }) =>
    socket.write(formatResponse(id)),
  );
  announce({ state: 'draining', leavingMs: performance.now() });
  t.match(await run(resent), { type: 'refused', code: 'draining' });
  announce({});
  t.match(await run(first), { type: 'refused', arrived: false });
  t.equal(server.requests.length, 0);
});

t.test('late resent copy does not run if a later one was refused', async (t) => {
  const { run, announce, server } = await startServerTask(t, ({ id, socket }) =>
    socket.write(formatResponse(id)),
  );
  announce({ state: 'draining', leavingMs: performance.now() });
  t.match(await run({ ...resent, copy: 3 }), { type: 'refused', code: 'draining' });
  announce({});
  t.match(await run(resent), { type: 'refused', arrived: false });
  t.equal(server.requests.length, 0);
});

t.test('resent request that was refused can be sent as a new one', async (t) => {
  const { run, announce, server } = await startServerTask(t, ({ id, socket }) =>
    socket.write(formatResponse(id)),
  );
  announce({ state: 'draining', leavingMs: performance.now() });
  t.match(await run(resent), { type: 'refused', code: 'draining' });
  announce({});
  t.match(await run({ ...first, copy: 3 }), { type: 'answered' });
  t.match(await run(first), { type: 'answered' }, 'a late copy gets the same result');
  t.equal(server.requests.length, 1);
});

t.test('stored refusal of the first copy does not refuse a resent one', async (t) => {
  // The stored refusal is that of the first attempt; the second one may still arrive and run.
  let refuses = true;
  const { run, server } = await startServerTask(t, ({ id, socket }) => {
    socket.write(formatResponse(id, refuses ? '503 No' : '200 OK', '', refuses ? 'X-Not-Run: 1\r\n' : ''));
    refuses = false;
  });
  t.match(await run(first), { type: 'refused', code: 'shed' });
  t.match(await run(resent), { type: 'answered' });
  t.match(await run(first), { type: 'answered' });
  t.equal(server.requests.length, 2);
});

t.test('copies of a request are numbered', async (t) => {
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
  await run.complete({ type: 'lost', code: 'peerLost', load: undefined });
  await run.complete(refused);
  await run.advance(350);
  t.same(
    run.sent.map(({ request }) => [request.copy, request.resumes]),
    [
      [1, ''],
      [2, 'p-a'],
      [3, ''],
    ],
  );
});
