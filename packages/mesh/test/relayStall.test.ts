import { Worker } from 'node:worker_threads';
import t from 'tap';
import { Logger } from '#core/Logger.js';
import { SystemClock } from '#core/SystemClock.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import { RelayTask } from '#mesh/RelayTask.js';
import { createTestRequest } from './CreateTestRequest.js';

/** Longer than the time in which a ping must be answered. */
const STALL_MS = 800;

/** A daemon on its own thread. It answers a ping 100 ms late, so that the sender has stalled by then. */
const PEER = `
const { createServer } = require('node:http2');
const { parentPort } = require('node:worker_threads');
const server = createServer();
server.on('session', (session) => session.on('ping', () => {
  parentPort.postMessage('pinged');
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 100);
}));
server.on('stream', (stream) => {
  stream.on('error', () => undefined);
  setTimeout(() => {
    stream.respond({ ':status': 200, 'amr-kind': '["answered",200,[]]', 'amr-detail': '[[],[]]' });
    stream.end();
  }, 400);
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));`;

t.test('session whose ping was answered during a stall is kept', async (t) => {
  // The tick ran before the sockets were read: the session was destroyed, and every request on it was lost.
  const peer = new Worker(PEER, { eval: true });
  t.teardown(() => peer.terminate());
  const port = await new Promise<number>((resolve) => peer.once('message', resolve));
  const relay = new RelayTask({
    clock: new SystemClock(),
    logger: new Logger('test'),
    revisions: () => [],
    onHint: () => undefined,
    onReachability: () => undefined,
  });
  t.teardown(() => relay.stop());
  let stalls = 0;
  peer.once('message', () => {
    stalls += 1;
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);
  });
  const request = createTestRequest('1');
  const result = await relay.ask<BackendResult>((reply) => ({
    type: 'order',
    request,
    address: `127.0.0.1:${port}`,
    reply,
  }));
  t.match(result, { type: 'answered', response: { status: 200 } });
  t.equal(stalls, 1);
});
