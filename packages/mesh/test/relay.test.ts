import { createServer as createPeer } from 'node:http2';
import { createServer, type Socket } from 'node:net';
import { deflateRawSync } from 'node:zlib';
import { randomBytes } from 'node:crypto';
import t from 'tap';
import { BodyBudget } from '#core/BodyBudget.js';
import { Logger } from '#core/Logger.js';
import { SystemClock } from '#core/SystemClock.js';
import { createPeerCalls } from '#mesh/CreatePeerCalls.js';
import { decodeBackendRequest } from '#mesh/DecodeBackendRequest.js';
import { decodeBackendResult } from '#mesh/DecodeBackendResult.js';
import { encodeBackendRequest } from '#mesh/EncodeBackendRequest.js';
import { encodeBackendResult } from '#mesh/EncodeBackendResult.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import { packBody } from '#mesh/PackBody.js';
import { PeerSession } from '#mesh/PeerSession.js';
import { ReceiverTask } from '#mesh/ReceiverTask.js';
import { RelayTask } from '#mesh/RelayTask.js';
import { unpackBody } from '#mesh/UnpackBody.js';
import { createTestRequest } from './CreateTestRequest.js';
import { RecordingLogger } from './RecordingLogger.js';
import { findFreePort } from './FindFreePort.js';
import { listenOnFreePort } from './ListenOnFreePort.js';

interface Teardown {
  readonly teardown: (close: () => unknown) => void;
}

const MIB = 1024 * 1024;

const clock = new SystemClock();
const logger = new Logger('test');
const hints: (readonly number[])[] = [];

function startRelay(t: Teardown, log: Logger = logger): RelayTask {
  const relay = new RelayTask({
    clock,
    logger: log,
    revisions: () => [3],
    onHint: (revisions) => hints.push(revisions),
    onReachability: () => undefined,
  });
  t.teardown(() => relay.stop());
  return relay;
}

async function startPair(
  t: Teardown,
  onRequest: (request: BackendRequest, reply: BackendResultCallback) => void,
): Promise<{
  readonly send: (req: BackendRequest) => Promise<BackendResult>;
  readonly receiver: ReceiverTask;
}> {
  const port = await findFreePort();
  const receiver = new ReceiverTask({
    host: '127.0.0.1',
    port,
    clock,
    logger,
    onRequest,
    calls: {},
    revisions: () => [7],
    onHint: (revisions) => hints.push(revisions),
  });
  await receiver.listen();
  t.teardown(() => receiver.stop());
  const relay = startRelay(t);
  const send = (request: BackendRequest): Promise<BackendResult> =>
    relay.ask((reply) => ({ type: 'order', request, address: `127.0.0.1:${port}`, reply }));
  return { send, receiver };
}

t.test('request is decoded as it was encoded', (t) => {
  const request = createTestRequest('ä1', { idempotent: false, resumes: 'p', copy: 3 }, 77);
  const nowMs = clock.monotonicMs();
  const read = decodeBackendRequest(
    encodeBackendRequest(request, { monotonicMs: nowMs, wallMs: 0 }),
    request.callerRequest.body,
    nowMs,
    () => 0,
  ).unsafeCoerce();
  t.same(read.callerRequest.headers, request.callerRequest.headers);
  t.equal(read.callerRequest.id, 'ä1');
  t.equal(read.callerRequest.key, 77);
  t.equal(read.idempotent, false);
  t.equal(read.resumes, 'p');
  t.equal(read.copy, 3);
  t.ok(Math.abs(read.dueMs - request.dueMs) <= 1);
  t.end();
});

t.test('error names the malformed part of a request', (t) => {
  t.match(decodeBackendRequest({ kind: 'x', detail: '[]' }, Buffer.alloc(0), 0, () => 0).extract(), /JSON/);
  t.match(
    decodeBackendRequest({ kind: '[1]', detail: '[]' }, Buffer.alloc(0), 0, () => 0).extract(),
    /item 0/,
  );
  t.end();
});

t.test('results are decoded as they were encoded', (t) => {
  const load = { running: 1, queued: 2, slots: 3, waitMs: 4, serviceMs: 5, slowdown: 1.5 };
  const results: readonly BackendResult[] = [
    {
      type: 'answered',
      response: { status: 200, headers: [['X-A', 'ü']], body: Buffer.from('b') },
      load,
    },
    { type: 'refused', code: 'full', retryAfterMs: 30, load, arrived: false },
    { type: 'lost', code: 'badAnswer', load: undefined },
  ];
  for (const result of results) {
    const body = result.type === 'answered' ? result.response.body : Buffer.alloc(0);
    t.same(decodeBackendResult(encodeBackendResult(result), body).unsafeCoerce(), result);
  }
  t.equal(decodeBackendResult({ kind: '["odd"]', detail: '[]' }, Buffer.alloc(0)).isLeft(), true);
  t.end();
});

t.test('text is compressed and random bytes are not', (t) => {
  t.equal(packBody(Buffer.from('{"badge":"valid","pitch":17}'.repeat(60))).encoding, 'deflate');
  t.equal(packBody(randomBytes(5_000)).encoding, 'plain');
  t.end();
});

t.test('body is the same after compression', (t) => {
  for (const text of ['', 'short', 'long '.repeat(500)]) {
    const packed = packBody(Buffer.from(text));
    t.equal(unpackBody(packed.bytes, packed.encoding).unsafeCoerce().toString(), text);
  }
  t.equal(unpackBody(Buffer.from('rubbish'), 'deflate').isLeft(), true);
  t.end();
});

t.test('requests and results pass through a session', async (t) => {
  const { send } = await startPair(t, (request, reply) =>
    reply({
      type: 'answered',
      response: { status: 200, headers: [], body: Buffer.from(`${request.callerRequest.id} `.repeat(200)) },
      load: undefined,
    }),
  );
  const results = await Promise.all(['1', '2', '3'].map((id) => send(createTestRequest(id))));
  t.same(
    results.map((result) => result.type === 'answered' && result.response.body.toString().slice(0, 2)),
    ['1 ', '2 ', '3 '],
  );
  t.same(hints.slice(0, 2), [[3], [3]], 'the receiver gets the revisions of the sender');
  t.same(hints.at(-1), [7], 'the sender gets the revisions of the receiver');
});

t.test('body is not decompressed beyond the limit', (t) => {
  // Guards against a few kilobytes that decompress to 128 MiB, half of the memory of a daemon.
  const bytes = deflateRawSync(Buffer.alloc(8 * MIB + 1));
  t.equal(unpackBody(bytes, 'deflate').isLeft(), true);
  t.equal(unpackBody(deflateRawSync(Buffer.alloc(8 * MIB)), 'deflate').isRight(), true);
  t.end();
});

t.test('order with a body above the limit has not run', async (t) => {
  // Guards against a receiver that buffers a body of any size.
  let received = 0;
  const { send } = await startPair(t, () => (received += 1));
  const backendRequest = createTestRequest('1');
  const callerRequest = { ...backendRequest.callerRequest, hasBody: true, body: randomBytes(9 * MIB) };
  t.match(await send({ ...backendRequest, callerRequest }), {
    type: 'refused',
    code: 'unreachable',
    arrived: false,
  });
  t.equal(received, 0);
});

t.test('request with a body of several MiB passes', async (t) => {
  const body = randomBytes(7 * MIB);
  const { send } = await startPair(t, ({ callerRequest }, reply) =>
    reply({
      type: 'answered',
      response: { status: 200, headers: [], body: callerRequest.body },
      load: undefined,
    }),
  );
  const backendRequest = createTestRequest('1');
  const result = await send({
    ...backendRequest,
    callerRequest: { ...backendRequest.callerRequest, hasBody: true, body },
  });
  t.ok(result.type === 'answered' && result.response.body.equals(body));
});

t.test('response above the body limit ends its request', async (t) => {
  const part = Buffer.alloc(256 * 1024);
  let bytes = 0;
  const peer = createPeer();
  peer.on('stream', (stream) => {
    stream.on('error', () => undefined);
    stream.respond({ ':status': 200, 'amr-kind': '["answered",200,[]]', 'amr-detail': '[[],[]]' });
    const write = (): void => {
      while (!stream.destroyed && bytes < 64 * MIB) {
        bytes += part.length;
        if (!stream.write(part)) return;
      }
      stream.end();
    };
    stream.on('drain', write);
    write();
  });
  const address = `127.0.0.1:${await listenOnFreePort(peer)}`;
  t.teardown(() => peer.close());
  const log = new RecordingLogger('test');
  const relay = startRelay(t, log);
  const request = createTestRequest('1');
  const result = await relay.ask<BackendResult>((reply) => ({
    type: 'order',
    request,
    address,
    reply,
  }));
  t.match(result, { type: 'lost', code: 'badAnswer' });
  t.match(log.records, [
    { event: 'peerAnswerBroken', fields: { peer: address, id: '1', reason: 'body exceeds 8388608 bytes' } },
  ]);
});

t.test('request to a daemon that does not listen is refused as unreachable', async (t) => {
  const relay = startRelay(t);
  const address = `127.0.0.1:${await findFreePort()}`;
  const result = await relay.ask<BackendResult>((reply) => ({
    type: 'order',
    request: createTestRequest('1'),
    address,
    reply,
  }));
  t.match(result, { type: 'refused', code: 'unreachable', arrived: false });
});

t.test('broken session leaves the outcome unknown', async (t) => {
  const { send, receiver } = await startPair(t, () => receiver.stop());
  t.match(await send(createTestRequest('1')), { type: 'lost', code: 'peerLost' });
});

t.test('request on a connection that no daemon serves has not run', async (t) => {
  // Guards against a 502 for a request that reached only the kernel, or a proxy, of a daemon that had ended.
  let received = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => (received += bytes.length));
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  const address = `127.0.0.1:${await listenOnFreePort(server)}`;
  t.teardown(() => server.close());
  const relay = startRelay(t);
  const request = createTestRequest('1', { idempotent: false });
  const result = await relay.ask<BackendResult>((reply) => ({ type: 'order', request, address, reply }));
  t.match(result, { type: 'refused', code: 'unreachable', arrived: false });
  t.ok(received < 200, `only the preface was sent, ${received} bytes`);
});

t.test('request under way at a frozen daemon is resent to it until it continues', async (t) => {
  // Guards against resends that are used up while the daemon does not accept a session, although its work goes on.
  const sockets: Socket[] = [];
  const frozen = createServer((socket) => {
    socket.on('error', () => undefined);
    sockets.push(socket);
  });
  const port = await listenOnFreePort(frozen);
  t.teardown(() => {
    frozen.close();
    for (const socket of sockets) socket.destroy();
  });
  const relay = startRelay(t);
  const resend = (copy: number): Promise<BackendResult> =>
    relay.ask((reply) => ({
      type: 'order',
      request: createTestRequest('1', { idempotent: false, resumes: 'p', copy }),
      address: `127.0.0.1:${port}`,
      reply,
    }));
  const startMs = clock.monotonicMs();
  for (const copy of [2, 3, 4]) t.match(await resend(copy), { type: 'refused', code: 'unreachable' });
  t.ok(clock.monotonicMs() - startMs > 2_000, 'each resend waits for the daemon');
  t.equal(sockets.length, 3);
});

t.test('session that ends while it connects does not end the process', async (t) => {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.resetAndDestroy();
  });
  const port = await listenOnFreePort(server);
  t.teardown(() => server.close());
  let closed = 0;
  for (let index = 0; index < 20; index += 1) {
    const session = new PeerSession(
      `127.0.0.1:${port}`,
      () => clock.monotonicMs(),
      new BodyBudget(0),
      () => {
        closed += 1;
      },
    );
    if (index % 2 === 0) session.destroy();
  }
  while (closed < 20) await new Promise((resolve) => setTimeout(resolve, 5));
  t.equal(closed, 20);
});

t.test('malformed call has no effect', (t) => {
  const cancelled: string[] = [];
  const calls = createPeerCalls('p', {
    describePlanner: () => Promise.resolve(true),
    describeLoad: () => Promise.reject(new Error('not asked')),
    onResigned: () => true,
    onCancel: (id) => cancelled.push(id) > 0,
    onRelease: () => true,
    onQuota: () => Promise.resolve(undefined),
    onMarks: () => true,
    readChanges: () => Promise.reject(new Error('not asked')),
  });
  t.throws(() => calls.cancel?.({ id: 5 }), { message: /cancel/ });
  t.throws(() => calls.release?.(undefined));
  t.throws(() => calls.marks?.({ marks: [{}] }));
  t.equal(calls.cancel?.({ id: 'a' }), true);
  t.same(cancelled, ['a']);
  t.end();
});
