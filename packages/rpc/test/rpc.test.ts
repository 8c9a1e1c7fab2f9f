import { createSocket } from 'node:dgram';
import t from 'tap';
import { Logger } from '#core/Logger.js';
import { SystemClock } from '#core/SystemClock.js';
import { encodeDatagram } from '#rpc/EncodeDatagram.js';
import { packMessage } from '#rpc/PackMessage.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';
import { PeerTransport } from '#rpc/PeerTransport.js';
import { signHop } from '#rpc/SignHop.js';
import { unpackMessage } from '#rpc/UnpackMessage.js';
import { verifyHop } from '#rpc/VerifyHop.js';

interface Teardown {
  readonly teardown: (close: () => unknown) => void;
}

const KEY = 'k'.repeat(32);
const HOST = '127.0.0.1';
const UDP = { channel: 'udp', timeoutMs: 2_000 } as const;
const HTTP = { channel: 'http', timeoutMs: 2_000 } as const;
const SHORT_TIMEOUT = { channel: 'udp', timeoutMs: 50 } as const;

async function startTransport(
  t: Teardown,
  serverId: string,
  fleetKey = KEY,
): Promise<{ transport: PeerTransport; address: PeerAddress }> {
  const transport = new PeerTransport({
    serverId,
    host: HOST,
    peerPort: 0,
    udpPort: 0,
    fleetKey,
    clock: new SystemClock(),
    logger: new Logger('rpc'),
  });
  transport.handle('echo', (params, from) => ({ params, from }));
  transport.handle('silent', () => undefined);
  const ports = await transport.start();
  t.teardown(() => transport.stop());
  return { transport, address: { serverId, host: HOST, ...ports } };
}

async function sendRaw(datagram: Buffer, peer: PeerAddress): Promise<void> {
  const socket = createSocket('udp4');
  await new Promise((resolve) => socket.send(datagram, peer.udpPort, peer.host, resolve));
  socket.close();
}

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 2));
}

t.test('calls work on both channels', async (t) => {
  const [a, b] = [await startTransport(t, 'a'), await startTransport(t, 'b')];
  for (const options of [UDP, HTTP]) {
    const reply = await a.transport.call(b.address, 'echo', [1], options);
    t.strictSame(reply.unsafeCoerce(), { params: [1], from: 'a' });
  }
  const seed = { ...b.address, serverId: '' };
  t.match((await a.transport.call(seed, 'echo', [], HTTP)).unsafeCoerce(), { from: 'a' });
});

t.test('a call without a reply times out', async (t) => {
  const [a, b] = [await startTransport(t, 'a'), await startTransport(t, 'b')];
  const reply = await a.transport.call(b.address, 'silent', [], SHORT_TIMEOUT);
  t.match(reply.swap().unsafeCoerce().fields, { code: 'peerSilent', step: 'rpc', peer: 'b' });
});

t.test('a large message requires http', async (t) => {
  const [a, b] = [await startTransport(t, 'a'), await startTransport(t, 'b')];
  const params = ['x'.repeat(5_000)];
  const refused = await a.transport.call(b.address, 'echo', params, UDP);
  t.equal(refused.swap().unsafeCoerce().fields.code, 'messageTooLarge');
  t.ok((await a.transport.call(b.address, 'echo', params, HTTP)).isRight());
});

t.test('a message with another fleet key is rejected', async (t) => {
  const [a, b] = [await startTransport(t, 'a', 'z'.repeat(32)), await startTransport(t, 'b')];
  t.ok((await a.transport.call(b.address, 'echo', [], SHORT_TIMEOUT)).isLeft());
  t.ok((await a.transport.call(b.address, 'echo', [], HTTP)).isLeft());
  t.equal(b.transport.readStats().rejected, 2);
});

t.test('forged, misdirected, old and replayed datagrams are dropped', async (t) => {
  const b = await startTransport(t, 'b');
  let handled = 0;
  b.transport.handle('count', () => (handled += 1));
  const payload = packMessage({ jsonrpc: '2.0', id: 'i', method: 'count', params: [] });
  const valid = { from: 'a', to: 'b', sentAtMs: Date.now(), payload };
  const forged = encodeDatagram(KEY, valid);
  forged[20] = (forged[20] ?? 0) ^ 1;
  await sendRaw(forged, b.address);
  await sendRaw(encodeDatagram(KEY, { ...valid, to: 'c' }), b.address);
  await sendRaw(encodeDatagram(KEY, { ...valid, sentAtMs: Date.now() - 6_000 }), b.address);
  await waitFor(() => b.transport.readStats().rejected === 3);
  await sendRaw(encodeDatagram(KEY, valid), b.address);
  await sendRaw(encodeDatagram(KEY, valid), b.address);
  await waitFor(() => b.transport.readStats().rejected === 4);
  t.equal(handled, 1);
});

t.test('a link can be cut in one direction', async (t) => {
  const [a, b] = [await startTransport(t, 'a'), await startTransport(t, 'b')];
  let handled = 0;
  b.transport.handle('count', () => (handled += 1));
  a.transport.cutLinks({ from: new Set(['b']) });
  t.ok((await a.transport.call(b.address, 'count', [], SHORT_TIMEOUT)).isLeft());
  t.equal(handled, 1);
  a.transport.cutLinks({ to: new Set(['b']) });
  t.ok((await a.transport.call(b.address, 'count', [], SHORT_TIMEOUT)).isLeft());
  t.equal(handled, 1);
  a.transport.cutLinks({});
  t.ok((await a.transport.call(b.address, 'count', [], UDP)).isRight());
});

t.test('packed messages are unpacked unchanged', (t) => {
  const messages = [
    { jsonrpc: '2.0', id: 'a', method: 'm', params: [1, { b: 'c' }] },
    { jsonrpc: '2.0', method: 'm', params: {} },
    { jsonrpc: '2.0', id: 'a', result: { x: 1 } },
    { jsonrpc: '2.0', id: 'a', error: { code: -32_601, message: 'unknown' } },
  ] as const;
  for (const message of messages) t.match(unpackMessage(packMessage(message)), message);
  t.end();
});

t.test('a hop signature covers fields and time', (t) => {
  const signature = signHop(KEY, 'GET /v1/x', 10_000);
  t.equal(verifyHop(KEY, 'GET /v1/x', signature, 11_000).unsafeCoerce(), 10_000);
  t.ok(verifyHop(KEY, 'GET /v1/y', signature, 11_000).isLeft());
  t.ok(verifyHop(KEY, 'GET /v1/x', signature, 16_000).isLeft());
  t.ok(verifyHop(KEY, 'GET /v1/x', signature.replace('10000', '15000'), 16_000).isLeft());
  t.end();
});
