import t from 'tap';
import { createTestRequest } from './CreateTestRequest.js';
import { formatResponse } from './FormatResponse.js';
import { startServerTask } from './StartServerTask.js';

const DUE_AFTER_MS = 500;
const STALL_MS = 900;

/** Blocks the event loop, as a process does that gets no processor time. */
function stall(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);
}

t.test('response that arrived during a stall ends its request', async (t) => {
  // The tick ran before the sockets were read: the request was lost, its connection destroyed, and the backend server
  // reported silent, although it had responded at once.
  const { run, server, evidence } = await startServerTask(t, ({ id, socket }) => {
    socket.write(formatResponse(id));
    if (id === '1') stall();
  });
  const result = await run({ ...createTestRequest('1'), dueMs: performance.now() + DUE_AFTER_MS });
  t.match(result, { type: 'answered', response: { status: 200 } });
  t.same(evidence, [], 'the backend server is not silent');
  t.match(await run(createTestRequest('2')), { type: 'answered' });
  t.equal(server.connections, 1, 'the connection is kept');
});

t.test('request without a response is lost after a stall', async (t) => {
  // A tick that is put off without bound would keep the slot.
  const { run } = await startServerTask(t, () => stall());
  const result = await run({ ...createTestRequest('1'), dueMs: performance.now() + DUE_AFTER_MS });
  t.match(result, { type: 'lost', code: 'timeout' });
});
