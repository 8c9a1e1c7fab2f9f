import t, { type Test } from 'tap';
import { sendRequest } from './SendRequest.js';
import { TestNode } from './TestNode.js';
import { waitUntil } from './WaitUntil.js';

interface OnceNode {
  readonly node: TestNode;
  /** Headers of a non-repeatable request with the idempotency key `i1` and the current epoch. */
  readonly headers: Readonly<Record<string, string>>;
}

async function startOwner(t: Test): Promise<OnceNode> {
  const node = await new TestNode().start();
  t.teardown(() => node.stop());
  node.own();
  const pay = { 'amr-class': 'pay', 'idempotency-key': 'i1' };
  const { epoch } = await sendRequest(node.port, pay, 'levy');
  return { node, headers: { ...pay, 'amr-epoch': epoch } };
}

t.test('request without epoch', async (t) => {
  // Without the epoch the owner cannot tell whether an earlier run of the id would still be in its records.
  const { node, headers } = await startOwner(t);
  const response = await sendRequest(node.port, { ...headers, 'amr-epoch': '' }, 'levy');
  t.match(response, { status: 428, ran: 'not run', epoch: headers['amr-epoch'] ?? 'missing' });
  t.match(response.epoch, /^1-\d+$/);
  t.equal(node.backend.runs.length, 0);
});

t.test('lost response', async (t) => {
  // A levy whose response is lost may have been charged; running it again could charge it twice.
  const { node, headers } = await startOwner(t);
  node.backend.respond = ({ res }) => res.destroy();
  t.match(await sendRequest(node.port, headers, 'levy'), { status: 502, ran: 'unknown' });
  t.equal((await node.counts('pay'))?.outcomes.unknown, 1);
  t.match(await sendRequest(node.port, headers, 'levy'), { status: 409, ran: 'unknown' });
  t.equal(node.backend.runs.length, 1);
});

t.test('concurrent duplicates', async (t) => {
  // A caller that repeats its request while the first one runs must not be charged twice.
  const { node, headers } = await startOwner(t);
  node.backend.respond = () => undefined;
  const responses = Promise.all(Array.from({ length: 5 }, () => sendRequest(node.port, headers, 'levy')));
  await waitUntil('all have arrived', async () => (await node.counts('pay'))?.received === 6);
  await waitUntil('the request runs', () => node.backend.runs.length > 0);
  node.backend.runs[0]?.res.end('receipt 17');
  for (const response of await responses) t.match(response, { status: 200, text: 'receipt 17' });
  t.match(await sendRequest(node.port, headers, 'levy'), { status: 200, text: 'receipt 17' });
  t.equal(node.backend.runs.length, 1);
});

t.test('other body under the same id', async (t) => {
  // The recorded response to one request must not be returned for a different request.
  const { node, headers } = await startOwner(t);
  t.match(await sendRequest(node.port, headers, 'levy'), { status: 200 });
  t.match(await sendRequest(node.port, headers, 'other'), { status: 422, ran: 'not run' });
  t.equal(node.backend.runs.length, 1);
});

t.test('epoch of an earlier token', async (t) => {
  // After a takeover the records of earlier ids are lost, so requests with earlier epochs must not run.
  const { node, headers } = await startOwner(t);
  node.own(60_000, 2);
  t.match(await sendRequest(node.port, headers, 'levy'), { status: 409, ran: 'unknown' });
  t.equal(node.backend.runs.length, 0);
});
