import { randomBytes } from 'node:crypto';
import { connect, constants, type ClientHttp2Session, type ClientHttp2Stream } from 'node:http2';
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { encodeBackendRequest } from '#mesh/EncodeBackendRequest.js';
import { encodeBackendResult } from '#mesh/EncodeBackendResult.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import { relayPaths } from '#mesh/RelayPaths.js';
import { createOrder } from './CreateOrder.js';
import { startPeer } from './StartPeer.js';
import { startReceiver } from './StartReceiver.js';

const BODY = randomBytes(4_000);

type Cut = (stream: ClientHttp2Stream, session: ClientHttp2Session) => void;

/** Sends the first bytes of an order with a body, cuts it off, and returns the orders that arrived. */
async function sendCut(
  t: Parameters<typeof startReceiver>[0],
  cut: Cut,
  bytes: number,
): Promise<readonly BackendRequest[]> {
  const orders: BackendRequest[] = [];
  const { address } = await startReceiver(t, (each) => orders.push(each));
  const session = connect(`http://${address}`);
  session.on('error', () => undefined);
  t.teardown(() => session.destroy());
  const plain = createOrder('1', { idempotent: false });
  const order = { ...plain, request: { ...plain.request, method: 'POST', hasBody: true, body: BODY } };
  const { kind, detail } = encodeBackendRequest(order, performance.now());
  const stream = session.request({
    ':method': 'POST',
    ':path': relayPaths.orders,
    'amr-kind': kind,
    'amr-detail': detail,
    'content-length': BODY.length,
  });
  stream.on('error', () => undefined);
  stream.write(BODY.subarray(0, bytes));
  await sleep(50);
  cut(stream, session);
  await sleep(50);
  return orders;
}

const cuts: Readonly<Record<string, Cut>> = {
  'its session': (_stream, session) => session.destroy(),
  'its stream': (stream) => stream.destroy(),
  'its cancelled stream': (stream) => stream.close(constants.NGHTTP2_CANCEL),
};

for (const [what, cut] of Object.entries(cuts)) {
  t.test(`order cut off with ${what} does not run`, async (t) => {
    // The library reported the stream as ended, and a levy was paid from half a form.
    t.same(await sendCut(t, cut, 2_500), []);
    t.same(await sendCut(t, cut, 0), []);
  });
}

t.test('order that arrived whole runs though its sender left', async (t) => {
  const cut: Cut = (stream, session) => {
    stream.end();
    setTimeout(() => session.destroy(), 10);
  };
  const orders = await sendCut(t, cut, BODY.length);
  t.equal(orders.length === 1 && orders[0]?.request.body.equals(BODY), true);
});

const answer: BackendResult = {
  type: 'answered',
  answer: { status: 200, headers: [], body: BODY },
  load: undefined,
};
const { kind, detail } = encodeBackendResult(answer);
const head = { ':status': 200, 'amr-kind': kind, 'amr-detail': detail, 'content-length': BODY.length };

t.test('answer of a daemon that was cut off is not whole', async (t) => {
  // A stream that its peer closed without an error code passed as ended.
  for (const bytes of [0, 1, BODY.length - 1]) {
    const send = await startPeer(t, (stream) => {
      stream.respond(head);
      if (bytes > 0) stream.write(BODY.subarray(0, bytes));
      setTimeout(() => stream.destroy(), 30);
    });
    t.match(await send(createOrder('1')), { type: 'lost', code: 'peerLost' }, `${bytes} bytes`);
  }
});

t.test('answer of a daemon whose session ends is not whole', async (t) => {
  const send = await startPeer(t, (stream) => {
    stream.respond(head);
    stream.write(BODY.subarray(0, 2_500));
    setTimeout(() => stream.session?.destroy(), 30);
  });
  t.match(await send(createOrder('1')), { type: 'lost', code: 'peerLost' });
});

t.test('refusal ahead of the head is not believed', async (t) => {
  // Of several heads on a stream only the final one is the result.
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
  t.match(await send(createOrder('1')), { type: 'answered' });
});

t.test('refusal behind an answer changes nothing', async (t) => {
  // A repeated result has no stream to arrive on.
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
  t.match(await send(createOrder('1')), { type: 'answered' });
  t.match(await send(createOrder('2')), { type: 'answered' });
});
