import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import t from 'tap';
import { Logger } from '#core/Logger.js';
import { RandomSource } from '#core/RandomSource.js';
import { SystemClock } from '#core/SystemClock.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import { EntryTask } from '#mesh/EntryTask.js';
import { FastestCompletion } from '#mesh/FastestCompletion.js';
import { createEntry } from './CreateEntry.js';
import { createTestRequest } from './CreateTestRequest.js';
import { createTestGate } from './CreateTestGate.js';
import { createView } from './CreateView.js';

const TIMEOUT_MS = 300;

/** From before the result until after the timeout. */
const STALL_MS = 400;

/** Another daemon, on its own thread. It sends the result 100 ms after the request. */
const PEER = `
const { createServer } = require('node:net');
const { parentPort } = require('node:worker_threads');
const server = createServer((socket) => socket.on('data', () => setTimeout(() => socket.write('result'), 100)));
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));`;

const ANSWER: BackendResult = {
  type: 'answered',
  response: { status: 200, headers: [], body: Buffer.from('x') },
  load: undefined,
};

t.test('result that arrived before a timeout outlives a stall', async (t) => {
  // The timer of the deadline runs before the sockets are read, and a result that lies in one is dropped.
  const clock = new SystemClock();
  const worker = new Worker(PEER, { eval: true });
  const port = await new Promise<number>((resolve) => worker.once('message', resolve));
  const peer = connect({ port, host: '127.0.0.1', noDelay: true });
  await new Promise<void>((resolve) => peer.once('connect', resolve));
  t.teardown(async () => {
    peer.destroy();
    await worker.terminate();
  });
  const identity = { serverId: 'own', failureDomain: 'd', region: 'r', service: 'c' };
  const replied = new Promise<CallerReply>((resolve) => {
    const task = new EntryTask({
      identity,
      clock,
      logger: new Logger('test'),
      metrics: new MetricsRecorder(),
      chooser: new FastestCompletion(
        identity,
        new RandomSource(1),
        new Logger('test'),
        new MetricsRecorder(),
      ),
      tenants: createTestGate(),
      retryFraction: 0.2,
      retryMinimum: 5,
      send: (_request, _server, reply) => peer.once('data', () => reply(ANSWER)),
      cancel: () => undefined,
    });
    task.post({ type: 'view', view: createView([createEntry('a')], { timeoutMs: TIMEOUT_MS }) });
    const request = { ...createTestRequest('1').callerRequest, arrivedMs: clock.monotonicMs() };
    task.post({ type: 'arrived', exchange: 1, request, reply: resolve });
  });
  const startMs = performance.now();
  peer.write('request');
  await sleep(20);
  // In a callback after the reads of the sockets: timers that are due come next.
  await new Promise<void>((resolve) =>
    setImmediate(() => {
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);
      resolve();
    }),
  );
  t.comment(`stalled until ${Math.round(performance.now() - startMs)} ms`);
  const reply = await replied;
  t.comment(`reply after ${Math.round(performance.now() - startMs)} ms`);
  t.match(reply, { type: 'answer' });
});
