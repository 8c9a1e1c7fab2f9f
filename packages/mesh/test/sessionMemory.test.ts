import { randomBytes } from 'node:crypto';
import { connect, constants, type ClientHttp2Stream } from 'node:http2';
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
import { RecordingLogger } from './RecordingLogger.js';
import { SlowLink } from './SlowLink.js';
import { startPeer } from './StartPeer.js';
import { startReceiver } from './StartReceiver.js';

const MIB = 1024 * 1024;

const LARGE: BackendResult = {
  type: 'answered',
  response: { status: 200, headers: [], body: randomBytes(7 * MIB) },
  load: undefined,
};

const SMALL: BackendResult = {
  type: 'answered',
  response: { status: 200, headers: [], body: Buffer.from('small') },
  load: undefined,
};

type Send = (id: string) => Promise<BackendResult>;

/** Starts a receiver behind a link. It answers requests whose id starts with `large` by large results. */
async function startPair(t: Parameters<typeof startReceiver>[0], bytesPerSecond: number): Promise<Send> {
  const { address } = await startReceiver(t, ({ callerRequest }: BackendRequest, reply) =>
    reply(callerRequest.id.startsWith('large') ? LARGE : SMALL),
  );
  const link = new SlowLink({ host: '127.0.0.1', port: Number(address.split(':')[1]) }, bytesPerSecond);
  const linkAddress = await link.start();
  const relay = new RelayTask({
    clock: new SystemClock(),
    logger: new RecordingLogger('test'),
    revisions: () => [],
    onHint: () => undefined,
    onReachability: () => undefined,
  });
  t.teardown(() => {
    relay.stop();
    link.stop();
  });
  return (id) =>
    relay.ask((reply) => ({
      type: 'order',
      request: createTestRequest(id, { idempotent: false }),
      address: linkAddress,
      reply,
    }));
}

function listIds(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}${index}`);
}

t.test('requests beside large unsent results are answered', async (t) => {
  // Guards against the limit of memory for a session, which by default is that of two large results.
  const send = await startPair(t, 8 * MIB);
  const large = Promise.all(listIds('large', 3).map(send));
  await sleep(300);
  const small = await Promise.all(listIds('small', 150).map(send));
  t.same(
    [...small, ...(await large)].filter(({ type }) => type !== 'answered'),
    [],
  );
});

t.test('request rejected for the memory of its session has not run', async (t) => {
  const send = await startPeer(t, (stream) => stream.close(constants.NGHTTP2_ENHANCE_YOUR_CALM));
  const request = createTestRequest('1', { idempotent: false });
  t.match(await send(request), { type: 'refused', code: 'unreachable', arrived: false });
});

t.test('request on a session that its peer broke off may have run', async (t) => {
  const send = await startPeer(t, (stream) => {
    stream.session?.goaway(constants.NGHTTP2_ENHANCE_YOUR_CALM);
  });
  const request = createTestRequest('1', { idempotent: false });
  t.match(await send(request), { type: 'lost', code: 'peerLost' });
});

t.test('requests rejected for memory do not end their session', async (t) => {
  // Guards against the limit of rejected streams, after which all requests on the session were lost.
  const { address } = await startReceiver(t, (_request, reply) => reply(LARGE));
  const session = connect(`http://${address}`, { settings: { initialWindowSize: 0 } });
  let failure: unknown;
  session.on('error', (err: Error) => (failure = err));
  t.teardown(() => session.destroy());
  const send = (id: string): ClientHttp2Stream => {
    const { kind, detail } = encodeBackendRequest(createTestRequest(id), readClocks(new SystemClock()));
    const stream = session.request({
      ':method': 'POST',
      ':path': relayPaths.requests,
      'amr-kind': kind,
      'amr-detail': detail,
    });
    stream.on('error', () => undefined);
    return stream.end();
  };
  for (const id of listIds('large', 10)) {
    const stream = send(id);
    await new Promise((resolve) => stream.on('response', resolve).on('close', resolve));
  }
  const rejected = listIds('rejected', 300).map(send);
  const codes = await Promise.all(
    rejected.map((stream) => new Promise((resolve) => stream.on('close', () => resolve(stream.rstCode)))),
  );
  t.same([...new Set(codes)], [constants.NGHTTP2_ENHANCE_YOUR_CALM]);
  t.equal(failure, undefined);
});
