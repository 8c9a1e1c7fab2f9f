import t, { type Test } from 'tap';
import { postRequest } from './PostRequest.js';
import { TestNode } from './TestNode.js';
import { waitUntil } from './WaitUntil.js';

const formatRefusal = (orderId: string): string =>
  `HTTP/1.1 503 No\r\namr-refused: shed\r\namr-order-id: ${orderId}\r\nContent-Length: 0\r\n\r\n`;

const formatResponse = (orderId: string): string =>
  `HTTP/1.1 200 OK\r\namr-order-id: ${orderId}\r\nContent-Length: ${orderId.length}\r\n\r\n${orderId}`;

/** Starts a node whose backend server responds with the bytes that `respond` returns for an order id. */
async function startOwner(t: Test, respond: (orderId: string) => string): Promise<TestNode> {
  const node = await new TestNode().start();
  t.teardown(() => node.stop());
  node.own();
  node.backend.respond = ({ req, res: { socket } }) =>
    socket?.write(respond(String(req.headers['amr-order-id'])));
  return node;
}

async function run(node: TestNode, orderId: string): Promise<string | undefined> {
  const request = postRequest(node, orderId);
  await waitUntil('the request ended', () => request.end() !== undefined);
  return request.end();
}

t.test('earlier refusal does not end the next request', async (t) => {
  // Guards against a fault: the next request had run, but was reported as not run and sent to another server.
  const node = await startOwner(t, (id) =>
    id === 'o1' ? formatRefusal(id) : `${formatRefusal('o1')}${formatResponse(id)}`,
  );
  t.equal(await run(node, 'o1'), 'not run: backendShed');
  t.equal(await run(node, 'o2'), 'unknown: backendLost');
});

t.test('earlier response is not passed to the next caller', async (t) => {
  const node = await startOwner(t, (id) =>
    id === 'o1' ? formatResponse(id) : `${formatResponse('o1')}${formatResponse(id)}`,
  );
  t.equal(await run(node, 'o1'), '');
  const request = postRequest(node, 'o2');
  await waitUntil('the request ended', () => request.end() !== undefined);
  t.same(
    request.events.map(({ type }) => type),
    ['broken'],
  );
});

t.test('refusal that comes twice at once ends one request', async (t) => {
  const node = await startOwner(t, (id) => (id === 'o1' ? formatRefusal(id).repeat(2) : formatResponse(id)));
  t.equal(await run(node, 'o1'), 'not run: backendShed');
  t.equal(await run(node, 'o2'), '');
});

t.test('refusal between two requests ends neither', async (t) => {
  const node = await startOwner(t, (id) => (id === 'o1' ? formatRefusal(id) : formatResponse(id)));
  t.equal(await run(node, 'o1'), 'not run: backendShed');
  const socket = node.backend.runs[0]?.res.socket;
  socket?.write(formatRefusal('o1'));
  await waitUntil('the connection is closed', () => socket?.destroyed === true);
  t.equal(await run(node, 'o2'), '');
});
