import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { listResponses } from '../../mesh/test/ListResponses.js';
import { RawCaller } from './RawCaller.js';
import { TestNode } from './TestNode.js';
import { waitUntil } from './WaitUntil.js';

const MIB = 1024 * 1024;

/** Starts a daemon whose backend server answers with a body of `bytes`. */
async function start(
  t: { readonly teardown: (close: () => unknown) => void },
  bytes: number,
): Promise<TestNode> {
  const node = await new TestNode().start();
  t.teardown(() => node.stop());
  node.own();
  node.backend.respond = ({ res }) => res.end(Buffer.alloc(bytes, 'x'));
  return node;
}

t.test('close does not destroy a response that the caller has not read', async (t) => {
  // The connection was closed once the kernel had the response; the reset for a later request destroyed it.
  const node = await start(t, MIB);
  const caller = new RawCaller(node.port);
  caller.send('GET /v1/badges/a HTTP/1.1', [], '\r\n');
  caller.socket.pause();
  await waitUntil('the request runs', () => node.backend.runs.length === 1);
  await sleep(200);
  node.path.announceClose();
  await node.path.close();
  const ended = node.path.waitConnectionsEnded();
  await sleep(50);
  caller.send('GET /v1/badges/b HTTP/1.1', [], '\r\n');
  await sleep(50);
  caller.socket.resume();
  await ended;
  await caller.waitClosed();
  t.equal(listResponses(caller.text)[0], `200 ${MIB}`);
});

t.test('close ends idle connections', async (t) => {
  const node = await start(t, 2);
  const caller = new RawCaller(node.port);
  caller.send('GET /v1/badges/a HTTP/1.1', [], '\r\n');
  await caller.waitFor('xx');
  await node.path.close();
  await node.path.waitConnectionsEnded();
  await caller.waitClosed();
  t.same(listResponses(caller.text), ['200 2']);
});

t.test('connection whose caller does not close ends at a bound', async (t) => {
  const node = await start(t, MIB);
  const caller = new RawCaller(node.port);
  caller.send('GET /v1/badges/a HTTP/1.1', [], '\r\n');
  caller.socket.pause();
  await waitUntil('the request runs', () => node.backend.runs.length === 1);
  await sleep(200);
  await node.path.close();
  const startMs = performance.now();
  await node.path.waitConnectionsEnded();
  t.ok(performance.now() - startMs < 8_000);
});

t.test('malformed bytes do not replace the response to the request before them', async (t) => {
  // The caller read the refusal of the bytes as the response to its request, which ran.
  const node = await start(t, 2);
  const caller = new RawCaller(node.port);
  node.backend.respond = ({ res }) => setTimeout(() => res.end('late'), 200);
  caller.send('GET /v1/badges/a HTTP/1.1', [], '\r\n');
  await waitUntil('the request runs', () => node.backend.runs.length === 1);
  caller.socket.write('\0\0\0');
  const text = await caller.waitClosed();
  t.match(text, /^HTTP\/1\.1 200 [^]*late/);
  t.notMatch(text, / 400 /);
});

t.test('bytes after malformed ones do not destroy the refusal', async (t) => {
  const node = await start(t, 2);
  const caller = new RawCaller(node.port);
  caller.socket.pause();
  for (let count = 0; count < 3; count += 1) {
    caller.socket.write('\0');
    await sleep(50);
  }
  caller.socket.resume();
  t.match(await caller.waitClosed(), /^HTTP\/1\.1 400 /);
});

t.test('malformed chunk is refused', async (t) => {
  const node = await start(t, 2);
  const caller = new RawCaller(node.port);
  caller.send('POST /v1/badges/a HTTP/1.1', ['transfer-encoding: chunked'], '5\r\n12345\r\nzz\r\n');
  const text = await caller.waitClosed();
  t.match(text, /^HTTP\/1\.1 400 /);
  t.equal(text.split('HTTP/1.1 ').length, 2, 'one response');
});
