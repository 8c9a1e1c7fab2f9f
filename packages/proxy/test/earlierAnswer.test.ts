import t, { type Test } from 'tap';
import { postOrder } from './PostOrder.js';
import { TestNode } from './TestNode.js';
import { waitUntil } from './WaitUntil.js';

const formatRefusal = (orderId: string): string =>
  `HTTP/1.1 503 No\r\namr-refused: shed\r\namr-order-id: ${orderId}\r\nContent-Length: 0\r\n\r\n`;

const formatAnswer = (orderId: string): string =>
  `HTTP/1.1 200 OK\r\namr-order-id: ${orderId}\r\nContent-Length: ${orderId.length}\r\n\r\n${orderId}`;

/** Starts a node whose backend server answers with the bytes that `answer` gives for an order. */
async function startOwner(t: Test, answer: (orderId: string) => string): Promise<TestNode> {
  const node = await new TestNode().start();
  t.teardown(() => node.stop());
  node.own();
  node.backend.answer = ({ req, res: { socket } }) =>
    socket?.write(answer(String(req.headers['amr-order-id'])));
  return node;
}

async function run(node: TestNode, orderId: string): Promise<string | undefined> {
  const order = postOrder(node, orderId);
  await waitUntil('the order ended', () => order.end() !== undefined);
  return order.end();
}

t.test('earlier refusal does not end the next order', async (t) => {
  // The order that ran was reported as not run, and offered to another server.
  const node = await startOwner(t, (id) =>
    id === 'o1' ? formatRefusal(id) : `${formatRefusal('o1')}${formatAnswer(id)}`,
  );
  t.equal(await run(node, 'o1'), 'not run: backendShed');
  t.equal(await run(node, 'o2'), 'unknown: backendLost');
});

t.test('earlier answer is not passed to the next caller', async (t) => {
  const node = await startOwner(t, (id) =>
    id === 'o1' ? formatAnswer(id) : `${formatAnswer('o1')}${formatAnswer(id)}`,
  );
  t.equal(await run(node, 'o1'), '');
  const order = postOrder(node, 'o2');
  await waitUntil('the order ended', () => order.end() !== undefined);
  t.same(
    order.events.map(({ type }) => type),
    ['broken'],
  );
});

t.test('refusal that comes twice at once ends one order', async (t) => {
  const node = await startOwner(t, (id) => (id === 'o1' ? formatRefusal(id).repeat(2) : formatAnswer(id)));
  t.equal(await run(node, 'o1'), 'not run: backendShed');
  t.equal(await run(node, 'o2'), '');
});

t.test('refusal between two orders ends neither', async (t) => {
  const node = await startOwner(t, (id) => (id === 'o1' ? formatRefusal(id) : formatAnswer(id)));
  t.equal(await run(node, 'o1'), 'not run: backendShed');
  const socket = node.backend.runs[0]?.res.socket;
  socket?.write(formatRefusal('o1'));
  await waitUntil('the connection is closed', () => socket?.destroyed === true);
  t.equal(await run(node, 'o2'), '');
});
