import t, { type Test } from 'tap';
import { floodSocket } from '../../mesh/test/FloodSocket.js';
import { RawCaller } from './RawCaller.js';
import { sendRequest } from './SendRequest.js';
import { TestNode } from './TestNode.js';
import { waitUntil } from './WaitUntil.js';

const MIB = 1024 * 1024;

const DEADLINE_MS = 600;

/** Bytes that the sockets of one connection may hold on both sides, besides what the daemon keeps. */
const SOCKET_BYTES = 16 * MIB;

interface Flooded {
  readonly node: TestNode;
  /** Number of bytes that the backend server could write until its connection was closed. */
  readonly bytes: () => Promise<number>;
}

/** Starts a daemon whose backend server answers `/flood` with `start` and then with `part` without end. */
async function startFlooded(t: Test, start: string, part: string): Promise<Flooded> {
  const node = await new TestNode().start();
  t.teardown(() => node.stop());
  node.own();
  let flood: Promise<number> | undefined;
  node.backend.respond = ({ req, res }) => {
    if (req.url !== '/flood') {
      res.end('done');
      return;
    }
    const socket = res.socket!;
    socket.write(start);
    flood = floodSocket(socket, Buffer.from(part.repeat(Math.ceil(65_536 / part.length))));
  };
  return { node, bytes: async () => (await flood) ?? 0 };
}

async function serves({ node }: Flooded): Promise<boolean> {
  return (await sendRequest(node.port)).status === 200;
}

for (const [name, start, part] of [
  ['endless header line', 'HTTP/1.1 200 OK\r\nX-Long: ', 'x'],
  ['endless headers', 'HTTP/1.1 200 OK\r\n', 'X-A: b\r\n'],
  ['endless interim responses', '', 'HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n'],
  ['endless bytes that are no response', '', 'x'],
] as const) {
  t.test(`${name} end in a failure`, async (t) => {
    const flooded = await startFlooded(t, start, part);
    const response = await sendRequest(
      flooded.node.port,
      { 'amr-deadline-ms': String(DEADLINE_MS) },
      '',
      '/v1/badges/flood',
    );
    t.ok(response.status >= 500, `status ${response.status}`);
    t.not(response.ran, 'not run');
    t.ok((await flooded.bytes()) <= SOCKET_BYTES, 'the daemon closes the connection');
    t.ok(await serves(flooded), 'other callers are served');
  });
}

t.test('endless body is not kept for a caller that does not read', async (t) => {
  const flooded = await startFlooded(t, 'HTTP/1.1 200 OK\r\n\r\n', 'x');
  const before = process.memoryUsage().rss;
  const caller = new RawCaller(flooded.node.port);
  caller.send('GET /v1/badges/flood HTTP/1.1', ['amr-deadline-ms: 5000']);
  caller.socket.pause();
  for (let index = 0; index < 20; index += 1) t.ok(await serves(flooded));
  const grown = process.memoryUsage().rss - before;
  t.ok(grown < 64 * MIB, `${Math.round(grown / MIB)} MiB more`);
  caller.socket.destroy();
  t.ok((await flooded.bytes()) <= SOCKET_BYTES, `${await flooded.bytes()} bytes written`);
});

t.test('endless body is cut off at the deadline and does not look complete', async (t) => {
  const flooded = await startFlooded(
    t,
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    '4\r\nxxxx\r\n',
  );
  const caller = new RawCaller(flooded.node.port);
  caller.send('GET /v1/badges/flood HTTP/1.1', [`amr-deadline-ms: ${DEADLINE_MS}`]);
  await waitUntil('the connection is closed', () => caller.closed);
  t.notMatch(caller.text.slice(-16), /\r\n0\r\n\r\n$/);
  t.ok(await serves(flooded), 'other callers are served');
});

t.test('interim response is not taken for the final one', async (t) => {
  // Its status reached the caller as that of the response.
  const node = await new TestNode().start();
  t.teardown(() => node.stop());
  node.own();
  node.backend.respond = ({ res }) => {
    res.writeEarlyHints({ link: '</a>; rel=preload' });
    res.end('done');
  };
  t.match(await sendRequest(node.port), { status: 200, text: 'done' });
});

t.test('few interim responses pass and many break the request off', async (t) => {
  // A backend server that sent them without end was read as fast as it wrote until the deadline of the request.
  const node = await new TestNode().start();
  t.teardown(() => node.stop());
  node.own();
  node.backend.respond = ({ req, res }) => {
    const count = Number(req.url?.slice(1));
    for (let index = 0; index < count; index += 1) res.writeProcessing();
    res.end('done');
  };
  t.match(await sendRequest(node.port, {}, '', '/v1/badges/64'), { status: 200, text: 'done' });
  const many = await sendRequest(node.port, {}, '', '/v1/badges/65');
  t.match(many, { status: 502, error: 'backendLost', ran: 'unknown' });
  t.match(await sendRequest(node.port, {}, '', '/v1/badges/0'), { status: 200, text: 'done' });
});
