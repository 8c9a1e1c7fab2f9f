import { createSocket } from 'node:dgram';
import { connect } from 'node:net';
import t from 'tap';
import { SystemClock } from '#core/SystemClock.js';
import { computeMac } from '#rpc/ComputeMac.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';
import { PeerTransport } from '#rpc/PeerTransport.js';
import { RecordingLogger } from '../../mesh/test/RecordingLogger.js';

const KEY = 'k'.repeat(32);
const HOST = '127.0.0.1';

interface Peer {
  readonly transport: PeerTransport;
  readonly address: PeerAddress;
  readonly logger: RecordingLogger;
}

async function startPeer(t: { readonly teardown: (close: () => unknown) => void }): Promise<Peer> {
  const logger = new RecordingLogger('test');
  const transport = new PeerTransport({
    serverId: 'b',
    host: HOST,
    peerPort: 0,
    udpPort: 0,
    fleetKey: KEY,
    clock: new SystemClock(),
    logger,
  });
  transport.handle('echo', (params) => ({ params }));
  const ports = await transport.start();
  t.teardown(() => transport.stop());
  return { transport, logger, address: { serverId: 'b', host: HOST, ...ports } };
}

const countMalformed = ({ logger }: Peer): number =>
  logger.records.filter(({ event }) => event === 'messageMalformed').length;

async function waitForMalformed(peer: Peer, count: number): Promise<void> {
  while (countMalformed(peer) < count) await new Promise((resolve) => setTimeout(resolve, 5));
}

async function callEcho({ transport, address }: Peer): Promise<unknown> {
  const options = { channel: 'http', timeoutMs: 2_000 } as const;
  return (await transport.call(address, 'echo', [1], options)).unsafeCoerce();
}

t.test('call that is cut off does not end the process', { timeout: 10_000 }, async (t) => {
  // Guards against an unhandled rejection, which anyone with access to the port could cause.
  const peer = await startPeer(t);
  const socket = connect(peer.address.peerPort, HOST);
  socket.write('POST /rpc HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nbegin', () => socket.destroy());
  await waitForMalformed(peer, 1);
  t.match(await callEcho(peer), { params: [1] });
});

t.test('malformed datagram of a peer does not end the process', { timeout: 10_000 }, async (t) => {
  const peer = await startPeer(t);
  const socket = createSocket('udp4');
  t.teardown(() => socket.close());
  const nested = `${'['.repeat(20_000)}${']'.repeat(20_000)}`;
  const envelope = (payload: string): string => `["a","b",${Date.now()},${payload}]`;
  const texts = ['5', 'null', '{', envelope('null'), envelope('[9]'), envelope('[]'), envelope(nested)];
  for (const text of texts) {
    const datagram = Buffer.concat([computeMac(KEY, text).subarray(0, 16), Buffer.from(text)]);
    await new Promise((resolve) => socket.send(datagram, peer.address.udpPort, HOST, resolve));
  }
  await waitForMalformed(peer, texts.length);
  t.match(await callEcho(peer), { params: [1] });
  t.ok(peer.logger.records.every(({ fields }) => String(fields.message).length <= 200));
});

t.test('malformed call of a peer does not end the process', { timeout: 10_000 }, async (t) => {
  const peer = await startPeer(t);
  const texts = ['null', '{', '[null]'];
  for (const payload of texts) {
    const sentAtMs = Date.now();
    const signed = `rpc\n${JSON.stringify(['a', 'b', sentAtMs, ''])}\n${payload}`;
    const headerLines = [
      'POST /rpc HTTP/1.1',
      'Host: a',
      'amr-from: a',
      'amr-to: b',
      `amr-time: ${sentAtMs}`,
      `amr-mac: ${computeMac(KEY, signed).toString('hex')}`,
      `Content-Length: ${payload.length}`,
    ];
    const socket = connect(peer.address.peerPort, HOST);
    socket.on('error', () => undefined);
    socket.write(`${headerLines.join('\r\n')}\r\n\r\n${payload}`);
  }
  await waitForMalformed(peer, texts.length);
  t.match(await callEcho(peer), { params: [1] });
});

t.test('message to an invalid address does not end the process', async (t) => {
  const { transport, logger } = await startPeer(t);
  const invalidAddress = { serverId: 'c', host: HOST, peerPort: 99_999, udpPort: 99_999 };
  transport.notify(invalidAddress, 'echo', []);
  t.match(logger.records, [{ event: 'messageMalformed', fields: { peer: `${HOST}:99999` } }]);
  for (const channel of ['udp', 'http'] as const)
    t.ok((await transport.call(invalidAddress, 'echo', [], { channel, timeoutMs: 50 })).isLeft(), channel);
});
