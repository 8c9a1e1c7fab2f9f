import t, { type Test } from 'tap';
import { createTestCatalogue } from './CreateTestCatalogue.js';
import { RawCaller } from './RawCaller.js';
import { sendRequest } from './SendRequest.js';
import { TestNode } from './TestNode.js';
import { waitUntil } from './WaitUntil.js';

async function startOwner(t: Test): Promise<TestNode> {
  const node = await new TestNode().start(createTestCatalogue());
  t.teardown(() => node.stop());
  node.own();
  return node;
}

async function isCounted(node: TestNode, requestClass: string, outcome: string): Promise<boolean> {
  const counts = await node.counts(requestClass);
  return Object.entries(counts?.outcomes ?? {}).some(([name, count]) => name === outcome && count === 1);
}

/** Checks that the outcomes of the admitted requests add up to their number. */
async function checkSum(t: Test, node: TestNode, requestClass: string): Promise<void> {
  const counts = await node.counts(requestClass);
  const { refused, ...others } = counts?.outcomes ?? {};
  const sum = Object.values(others).reduce<number>((total, count) => total + count, 0);
  t.equal(sum, counts?.admitted);
  t.equal(counts?.received, (counts?.admitted ?? 0) + (refused ?? 0));
  t.equal(counts?.inFlight, 0);
}

t.test('truncated response', async (t) => {
  // A caller must not see a truncated response as a complete one.
  for (const hasLength of [true, false]) {
    const node = await startOwner(t);
    node.backend.respond = ({ res }) => {
      res.writeHead(200, hasLength ? { 'content-length': 1_000 } : {});
      res.write('part of the answer');
    };
    const caller = new RawCaller(node.port);
    caller.send('GET /v1/badges/x HTTP/1.1');
    await caller.waitFor('part of the answer');
    node.backend.runs[0]?.res.destroy();
    const text = await caller.waitClosed();
    t.notMatch(text, /\r\n0\r\n\r\n$/, 'no last chunk');
    await waitUntil('the outcome is partial', () => isCounted(node, 'look', 'partial'));
    await checkSum(t, node, 'look');
  }
});

t.test('late response', async (t) => {
  // A response after the deadline is of no use to the caller, and must not count as delivered.
  const node = await startOwner(t);
  node.backend.respond = ({ res }) => res.write('begun');
  const caller = new RawCaller(node.port);
  caller.send('GET /v1/badges/x HTTP/1.1', ['amr-deadline-ms: 300']);
  await caller.waitFor('begun');
  const endMs = node.clock.monotonicMs() + 300;
  await waitUntil('the deadline has passed', () => node.clock.monotonicMs() > endMs);
  node.backend.runs[0]?.res.end('rest');
  await waitUntil('the request ended', async () => (await node.counts('look'))?.inFlight === 0);
  t.notOk(await isCounted(node, 'look', 'delivered'));
  t.ok((await isCounted(node, 'look', 'late')) || (await isCounted(node, 'look', 'partial')));
  await checkSum(t, node, 'look');
});

t.test('late receipt', async (t) => {
  // A receipt after the deadline proves that the response was late, not that it was delivered in time.
  const node = await startOwner(t);
  const response = await sendRequest(node.port, { 'amr-class': 'proof', 'amr-deadline-ms': '300' });
  const endMs = node.clock.monotonicMs() + 300;
  await waitUntil('the deadline has passed', () => node.clock.monotonicMs() > endMs);
  await sendRequest(node.port, {}, JSON.stringify({ bytes: response.text.length }), response.receipt);
  await waitUntil('the outcome is late', () => isCounted(node, 'proof', 'late'));
  await checkSum(t, node, 'proof');
});

t.test('receipt in time', async (t) => {
  // A receipt for fewer bytes than were sent proves only a partial response.
  for (const [missing, outcome] of [
    [0, 'delivered'],
    [1, 'partial'],
  ] as const) {
    const node = await startOwner(t);
    const response = await sendRequest(node.port, { 'amr-class': 'proof' });
    const bytes = response.text.length - missing;
    await sendRequest(node.port, {}, JSON.stringify({ bytes }), response.receipt);
    await waitUntil(`the outcome is ${outcome}`, () => isCounted(node, 'proof', outcome));
    await checkSum(t, node, 'proof');
  }
});

t.test('unconfirmed response', async (t) => {
  // A response without a receipt may not have reached its caller.
  const node = await startOwner(t);
  await sendRequest(node.port, { 'amr-class': 'proof', 'amr-deadline-ms': '300' });
  await waitUntil('the outcome is sentUnconfirmed', () => isCounted(node, 'proof', 'sentUnconfirmed'));
  await checkSum(t, node, 'proof');
});

t.test('abandoned request', async (t) => {
  // If the caller left before the response, nothing was delivered, whatever the backend server did.
  const node = await startOwner(t);
  node.backend.respond = () => undefined;
  const caller = new RawCaller(node.port);
  caller.send('GET /v1/badges/x HTTP/1.1');
  await waitUntil('the request runs', () => node.backend.runs.length === 1);
  caller.socket.destroy();
  await waitUntil('the outcome is abandoned', () => isCounted(node, 'look', 'abandoned'));
  await checkSum(t, node, 'look');
});

t.test('slow caller', async (t) => {
  // Without flow control, a response that its caller reads slowly would be buffered in memory.
  const node = await startOwner(t);
  const chunk = Buffer.alloc(1_000_000, 'a');
  let written = 0;
  node.backend.respond = ({ res }) => {
    const write = (): void => {
      while (written < 200) {
        written += 1;
        if (!res.write(chunk)) return void res.once('drain', write);
      }
      res.end();
    };
    write();
  };
  const caller = new RawCaller(node.port);
  caller.socket.pause();
  caller.send('GET /v1/badges/x HTTP/1.1');
  let before = -1;
  let still = 0;
  await waitUntil('the backend server is paused', () => {
    still = written === before && written > 0 ? still + 1 : 0;
    before = written;
    return still === 40 || written === 200;
  });
  // The socket buffers of both connections take some megabytes.
  t.ok(written < 60, `${written} MB were accepted`);
  let received = 0;
  caller.socket.removeAllListeners('data');
  caller.socket.on('data', (part: string) => (received += part.length));
  caller.socket.resume();
  await waitUntil('the caller has the response', () => received > 200 * chunk.length);
  caller.socket.destroy();
});
