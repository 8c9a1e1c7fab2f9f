import { randomBytes } from 'node:crypto';
import { connect, constants, type ClientHttp2Session, type ClientHttp2Stream } from 'node:http2';
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { SystemClock } from '#core/SystemClock.js';
import { encodeBackendRequest } from '#mesh/EncodeBackendRequest.js';
import { encodeBackendResult } from '#mesh/EncodeBackendResult.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import { readClocks } from '#mesh/ReadClocks.js';
import { relayPaths } from '#mesh/RelayPaths.js';
import { createTestRequest } from './CreateTestRequest.js';
import { startPeer } from './StartPeer.js';
import { startReceiver } from './StartReceiver.js';

const BODY = randomBytes(4_000);

type Cut = (stream: ClientHttp2Stream, session: ClientHttp2Session) => void;

/** Sends the first bytes of a request with a body, cuts it off with `cut`, and returns the requests that were received. */
async function sendTruncated(
  t: Parameters<typeof startReceiver>[0],
  cut: Cut,
  bytes: number,
): Promise<readonly BackendRequest[]> {
  const requests: BackendRequest[] = [];
  const { address } = await startReceiver(t, (each) => requests.push(each));
  const session = connect(`http://${address}`);
  session.on('error', () => undefined);
  t.teardown(() => session.destroy());
  const plain = createTestRequest('1', { idempotent: false });
  const request = {
    ...plain,
    callerRequest: { ...plain.callerRequest, method: 'POST', hasBody: true, body: BODY },
  };
  const { kind, detail } = encodeBackendRequest(request, readClocks(new SystemClock()));
  const stream = session.request({
    ':method': 'POST',
    ':path': relayPaths.requests,
    'amr-kind': kind,
    'amr-detail': detail,
    'content-length': BODY.length,
  });
  stream.on('error', () => undefined);
  stream.write(BODY.subarray(0, bytes));
  await sleep(50);
  cut(stream, session);
  await sleep(50);
  return requests;
}

const cuts: Readonly<Record<string, Cut>> = {
  'a destroyed session': (_stream, session) => session.destroy(),
  'a destroyed stream': (stream) => stream.destroy(),
  'a cancelled stream': (stream) => stream.close(constants.NGHTTP2_CANCEL),
};

for (const [description, cut] of Object.entries(cuts)) {
  t.test(`request truncated by ${description} does not run`, async (t) => {
    // `node:http2` reports the stream as ended. Guards against running a request with a truncated body.
    t.same(await sendTruncated(t, cut, 2_500), []);
    t.same(await sendTruncated(t, cut, 0), []);
  });
}

t.test('complete request runs although its sender disconnected', async (t) => {
  const cut: Cut = (stream, session) => {
    stream.end();
    setTimeout(() => session.destroy(), 10);
  };
  const requests = await sendTruncated(t, cut, BODY.length);
  t.equal(requests.length === 1 && requests[0]?.callerRequest.body.equals(BODY), true);
});

const result: BackendResult = {
  type: 'answered',
  response: { status: 200, headers: [], body: BODY },
  load: undefined,
};
const { kind, detail } = encodeBackendResult(result);
const head = { ':status': 200, 'amr-kind': kind, 'amr-detail': detail, 'content-length': BODY.length };

t.test('response truncated by a closed stream is not complete', async (t) => {
  // Guards against a stream that the peer closes without an error code, which `node:http2` reports as ended.
  for (const bytes of [0, 1, BODY.length - 1]) {
    const send = await startPeer(t, (stream) => {
      stream.respond(head);
      if (bytes > 0) stream.write(BODY.subarray(0, bytes));
      setTimeout(() => stream.destroy(), 30);
    });
    t.match(await send(createTestRequest('1')), { type: 'lost', code: 'peerLost' }, `${bytes} bytes`);
  }
});

t.test('response truncated by the end of its session is not complete', async (t) => {
  const send = await startPeer(t, (stream) => {
    stream.respond(head);
    stream.write(BODY.subarray(0, 2_500));
    setTimeout(() => stream.session?.destroy(), 30);
  });
  t.match(await send(createTestRequest('1')), { type: 'lost', code: 'peerLost' });
});

t.test('refusal in an interim response is ignored', async (t) => {
  // Only the final response on a stream is the result.
  const refusal = encodeBackendResult({
    type: 'refused',
    code: 'shed',
    retryAfterMs: 0,
    load: undefined,
    arrived: true,
  });
  const send = await startPeer(t, (stream) => {
    stream.additionalHeaders({ ':status': 103, 'amr-kind': refusal.kind, 'amr-detail': refusal.detail });
    stream.respond(head);
    stream.end(BODY);
  });
  t.match(await send(createTestRequest('1')), { type: 'answered' });
});

t.test('refusal in the trailers of a response is ignored', async (t) => {
  // A second result cannot arrive separately: each result belongs to the stream of its request.
  const refusal = encodeBackendResult({
    type: 'refused',
    code: 'shed',
    retryAfterMs: 0,
    load: undefined,
    arrived: true,
  });
  const send = await startPeer(t, (stream) => {
    stream.respond(head, { waitForTrailers: true });
    stream.on('wantTrailers', () =>
      stream.sendTrailers({ 'amr-kind': refusal.kind, 'amr-detail': refusal.detail }),
    );
    stream.end(BODY);
  });
  t.match(await send(createTestRequest('1')), { type: 'answered' });
  t.match(await send(createTestRequest('2')), { type: 'answered' });
});
