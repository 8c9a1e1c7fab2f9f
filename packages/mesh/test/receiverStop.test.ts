import { randomBytes } from 'node:crypto';
import { connect, constants } from 'node:http2';
import { connect as connectSocket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { SystemClock } from '#core/SystemClock.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import { encodeBackendRequest } from '#mesh/EncodeBackendRequest.js';
import { readClocks } from '#mesh/ReadClocks.js';
import { relayPaths } from '#mesh/RelayPaths.js';
import { RelayTask } from '#mesh/RelayTask.js';
import { createTestRequest } from './CreateTestRequest.js';
import type { RawRequest } from './RawRequest.js';
import { RecordingLogger } from './RecordingLogger.js';
import { SlowLink } from './SlowLink.js';
import { startNode } from './StartNode.js';
import { waitFor } from './WaitFor.js';

type Test = Parameters<typeof startNode>[0];

/** Bandwidth of a link of 14 Mbit/s. */
const LINK_BYTES_PER_SECOND = 1_750_000;

/** Delay of a link between two regions. */
const LINK_DELAY_MS = 20;

const GRACE_MS = 8_000;

/** Requests that are answered before a daemon under load is asked to stop, and the most that are open at a time. */
const MIN_ANSWERED = 1_000;
const MAX_OPEN = 1_600;

/** Latest end of a stop during which nothing waits. */
const IDLE_STOP_MS = 3_300;

/** Connection preface of HTTP/2 with an empty SETTINGS frame. */
const HTTP2_PREFACE = Buffer.concat([
  Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'),
  Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0]),
]);

const clock = new SystemClock();

/** Returns a function that answers a request with a body of random bytes. */
function createAnswer(bytes: number): (request: RawRequest) => void {
  const body = randomBytes(bytes);
  return ({ id, socket }) => {
    const head = [`HTTP/1.1 200 OK`, `X-Request-Id: ${id}`, 'X-Sign: a', `Content-Length: ${bytes}`];
    socket.write(`${head.join('\r\n')}\r\n\r\n`);
    socket.write(body);
  };
}

/** Starts the sending side of a daemon. */
function startSender(t: Test, address: string): (request: BackendRequest) => Promise<BackendResult> {
  const relay = new RelayTask({
    clock,
    logger: new RecordingLogger('test'),
    revisions: () => [],
    onHint: () => undefined,
    onReachability: () => undefined,
  });
  t.teardown(() => relay.stop());
  return (request) => relay.ask((reply) => ({ type: 'order', request, address, reply }));
}

function createUnsafeRequest(id: string): BackendRequest {
  const nowMs = clock.monotonicMs();
  const request = createTestRequest(id, {
    idempotent: false,
    targetLatencyMs: GRACE_MS,
    targetMs: nowMs + GRACE_MS,
    dueMs: nowMs + GRACE_MS,
  });
  return { ...request, callerRequest: { ...request.callerRequest, method: 'POST' } };
}

function describe(result: BackendResult): string {
  return result.type === 'answered'
    ? `${result.type} ${result.response.body.length}`
    : `${result.type} ${result.code}`;
}

t.test('stop delivers results that wait for a full link', { timeout: 30_000 }, async (t) => {
  // The stop closed the sessions a fixed time after the last result, whatever was unsent.
  const waiting: RawRequest[] = [];
  const { node, peers } = await startNode(t, GRACE_MS, (request) => waiting.push(request));
  const link = new SlowLink(peers, LINK_BYTES_PER_SECOND);
  t.teardown(() => link.stop());
  const send = startSender(t, await link.start());
  const bytes = 256 * 1024;
  const results = Array.from({ length: 24 }, (_, index) => send(createUnsafeRequest(`r${index}`)));
  await sleep(300);
  const stopped = node.stop();
  await sleep(2_000);
  const answer = createAnswer(bytes);
  for (const request of waiting) answer(request);
  await stopped;
  const outcomes = (await Promise.all(results)).map(describe);
  t.same(
    outcomes.filter((outcome) => outcome !== `answered ${bytes}`),
    [],
  );
});

t.test('stop delivers a result to a sender with a small window', { timeout: 30_000 }, async (t) => {
  const bytes = 1024 * 1024;
  const waiting: RawRequest[] = [];
  const { node, peers } = await startNode(t, GRACE_MS, (request) => waiting.push(request));
  const session = connect(`http://127.0.0.1:${peers.port}`, { settings: { initialWindowSize: 16 * 1024 } });
  session.on('error', () => undefined);
  session.on('goaway', () => session.close());
  t.teardown(() => session.destroy());
  const { kind, detail } = encodeBackendRequest(createUnsafeRequest('1'), readClocks(clock));
  const stream = session.request({
    ':method': 'POST',
    ':path': relayPaths.requests,
    'amr-kind': kind,
    'amr-detail': detail,
  });
  let received = 0;
  stream.on('error', () => undefined);
  stream.on('data', (chunk: Buffer) => {
    received += chunk.length;
    stream.pause();
    setTimeout(() => stream.resume(), 10);
  });
  const closed = new Promise((resolve) => stream.on('close', resolve));
  stream.end();
  await sleep(300);
  const stopped = node.stop();
  await sleep(2_000);
  waiting.forEach(createAnswer(bytes));
  await stopped;
  await closed;
  t.equal(received, bytes);
});

t.test('request whose body has not arrived by the end of a stop is refused as not run', async (t) => {
  // Guards against a 502 for a request that no backend server received.
  const { node, peers } = await startNode(t, GRACE_MS, createAnswer(400));
  const session = connect(`http://127.0.0.1:${peers.port}`);
  session.on('error', () => undefined);
  t.teardown(() => session.destroy());
  const { kind, detail } = encodeBackendRequest(createUnsafeRequest('1'), readClocks(clock));
  const headers = { ':method': 'POST', ':path': relayPaths.requests, 'amr-kind': kind, 'amr-detail': detail };
  const stream = session.request({ ...headers, 'content-length': 2_000 });
  stream.on('error', () => undefined);
  stream.write(randomBytes(1_000));
  await sleep(300);
  await node.stop();
  while (!stream.destroyed) await sleep(5);
  t.equal(stream.rstCode, constants.NGHTTP2_REFUSED_STREAM);
});

t.test('requests that cross a stop are answered or refused as not run', { timeout: 30_000 }, async (t) => {
  // Requests on the way to a daemon that closed its sessions may have run, as far as their sender knew.
  const { node, peers } = await startNode(t, GRACE_MS, createAnswer(400));
  const link = new SlowLink(peers, LINK_BYTES_PER_SECOND, LINK_DELAY_MS);
  t.teardown(() => link.stop());
  const address = await link.start();
  const senders = Array.from({ length: 16 }, () => startSender(t, address));
  const outcomes = new Map<string, number>();
  let count = 0;
  const countOpen = (): number => count - [...outcomes.values()].reduce((sum, each) => sum + each, 0);
  const countAnswered = (): number => outcomes.get('answered 400') ?? 0;
  const sendAll = (): void => {
    if (countOpen() > MAX_OPEN) return;
    for (const send of senders) {
      count += 1;
      void send(createUnsafeRequest(`c${count}`)).then((result) => {
        const outcome = describe(result);
        outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
      });
    }
  };
  const timer = setInterval(sendAll, 2);
  // The daemon is stopped at work, however long the machine takes to get there.
  await waitFor(() => countAnswered() > MIN_ANSWERED && countOpen() > 0);
  t.ok(countAnswered() > MIN_ANSWERED);
  t.ok(countOpen() > 0, 'requests are open when the stop begins');
  await node.stop();
  clearInterval(timer);
  await waitFor(() => countOpen() === 0);
  t.same(
    [...outcomes].filter(([outcome]) => outcome.startsWith('lost')),
    [],
  );
  t.equal(countOpen(), 0, 'each request has an outcome');
});

t.test('stop does not wait for a silent sender without results', { timeout: 30_000 }, async (t) => {
  // Guards against stops that last for the whole grace whenever one of the other daemons is frozen.
  const { node, peers } = await startNode(t, GRACE_MS, createAnswer(400));
  const socket = connectSocket({ ...peers, allowHalfOpen: true });
  t.teardown(() => socket.destroy());
  socket.write(HTTP2_PREFACE);
  await sleep(300);
  const startMs = clock.monotonicMs();
  await node.stop();
  t.ok(clock.monotonicMs() - startMs < IDLE_STOP_MS);
});

t.test('stop beside idle sessions ends early', { timeout: 30_000 }, async (t) => {
  const { node, peers } = await startNode(t, GRACE_MS, createAnswer(400));
  const senders = Array.from({ length: 30 }, () => startSender(t, `127.0.0.1:${peers.port}`));
  await Promise.all(senders.map((send, index) => send(createUnsafeRequest(`i${index}`))));
  const startMs = clock.monotonicMs();
  await node.stop();
  t.ok(clock.monotonicMs() - startMs < IDLE_STOP_MS);
});

t.test(
  'sender that stopped reading does not extend a stop beyond the grace',
  { timeout: 30_000 },
  async (t) => {
    const { node, peers } = await startNode(t, 4_000, createAnswer(4 * 1024 * 1024));
    const session = connect(`http://127.0.0.1:${peers.port}`);
    session.on('error', () => undefined);
    t.teardown(() => session.destroy());
    const { kind, detail } = encodeBackendRequest(createUnsafeRequest('1'), readClocks(clock));
    const headers = {
      ':method': 'POST',
      ':path': relayPaths.requests,
      'amr-kind': kind,
      'amr-detail': detail,
    };
    const stream = session.request(headers, { endStream: true });
    stream.on('error', () => undefined);
    stream.pause();
    await sleep(300);
    const startMs = clock.monotonicMs();
    await node.stop();
    t.ok(clock.monotonicMs() - startMs < 4_000);
  },
);
