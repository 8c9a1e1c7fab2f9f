import t from 'tap';
import { sendRequest } from './SendRequest.js';
import { TestNode } from './TestNode.js';

const DEADLINE_MS = 500;
const STALL_MS = 800;

/** Blocks the event loop, as a process does that gets no processor time. */
function stall(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);
}

t.test('response that arrived during a stall is delivered', async (t) => {
  // The timers of the deadlines run before the sockets are read: requests that had been answered in time ended as
  // deadlineExceeded, ran unknown.
  const node = await new TestNode().start();
  t.teardown(() => node.stop());
  node.own();
  node.backend.respond = ({ res }) => {
    res.end('done');
    stall();
  };
  const response = await sendRequest(node.port, { 'amr-deadline-ms': String(DEADLINE_MS) });
  t.match(response, { status: 200, text: 'done' });
});

t.test('request without a response ends after a stall', async (t) => {
  // A deadline that is put off without bound would keep the request open.
  const node = await new TestNode().start();
  t.teardown(() => node.stop());
  node.own();
  node.backend.respond = () => stall();
  const response = await sendRequest(node.port, { 'amr-deadline-ms': String(DEADLINE_MS) });
  t.match(response, { status: 504, error: 'deadlineExceeded', ran: 'unknown' });
});
