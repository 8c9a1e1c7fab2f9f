import { IncomingMessage, request } from 'node:http';
import { connect, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { defaultCallerCapacity } from '#connection/DefaultCallerCapacity.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import { Logger } from '#core/Logger.js';
import { SystemClock } from '#core/SystemClock.js';
import { CallerTask } from '#mesh/CallerTask.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import { readCallerRequest } from '#mesh/ReadCallerRequest.js';
import { findFreePort } from './FindFreePort.js';
import { testHeaders } from './TestHeaders.js';

const MIB = 1024 * 1024;

/** More than the buffers of a loopback connection take while the caller does not read. */
const LARGE_BYTES = 32 * MIB;

/**
 * Starts a `CallerTask` that replies with the length of the request body, or with a large body for `/large`.
 */
async function start(t: { readonly teardown: (close: () => unknown) => void }): Promise<{
  readonly task: CallerTask;
  readonly port: number;
  /** Sends a body whose last byte follows after `holdMs`. Resolves with the status and body of the response. */
  readonly post: (bytes: number, holdMs?: number) => Promise<string>;
}> {
  const port = await findFreePort();
  const task = new CallerTask({
    host: '127.0.0.1',
    port,
    headers: testHeaders,
    capacity: defaultCallerCapacity,
    metrics: new MetricsRecorder(),
    clock: new SystemClock(),
    logger: new Logger('test'),
    onAccepted: () => undefined,
    onRequest: (_exchange, { body, target }, reply) =>
      reply({
        type: 'answer',
        response: {
          status: 200,
          headers: [],
          body: target === '/large' ? Buffer.alloc(LARGE_BYTES) : Buffer.from(String(body.length)),
        },
      }),
    onLeft: () => undefined,
  });
  await task.listen();
  t.teardown(() => task.stop());
  const post = (bytes: number, holdMs = 0): Promise<string> =>
    new Promise((resolve, reject) => {
      const req = request({ host: '127.0.0.1', port, method: 'POST', agent: false }, (res) => {
        res.on('data', (chunk: Buffer) => resolve(`${res.statusCode ?? 0} ${chunk.toString()}`));
      });
      req.on('error', reject);
      req.write(Buffer.alloc(bytes - 1));
      setTimeout(() => req.end(Buffer.alloc(1)), holdMs);
    });
  return { task, port, post };
}

t.test('body of several MiB is read', async (t) => {
  const { post } = await start(t);
  t.equal(await post(7 * MIB), `200 ${7 * MIB}`);
});

t.test('body above the limit is refused before the configuration is known', async (t) => {
  // Bodies of any size were held in memory.
  const { post } = await start(t);
  t.match(await post(9 * MIB), /^413 /);
  t.equal(await post(5), '200 5', 'the next body is read');
});

t.test('configured limit cannot exceed that of the daemon', async (t) => {
  const { task, post } = await start(t);
  const limits = {
    maxHeaderBytes: 1_000,
    maxBodyBytes: 100 * MIB,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
  };
  task.post({ type: 'limits', limits });
  t.match(await post(9 * MIB), /^413 /);
  task.post({ type: 'limits', limits: { ...limits, maxBodyBytes: 10 } });
  t.match(await post(11), /^413 /);
  t.equal(await post(10), '200 10');
});

t.test('bodies of callers share a memory limit', async (t) => {
  const { post } = await start(t);
  const replies = await Promise.all(Array.from({ length: 6 }, () => post(8 * MIB, 1_000)));
  t.ok(
    replies.some((reply) => reply.startsWith('503 ')),
    replies.join(', '),
  );
  t.equal(await post(5), '200 5', 'a small body is read');
});

/** Reads a caller's request with the given raw headers. */
function readRequestWith(...rawHeaders: string[]): CallerRequest {
  const req = new IncomingMessage(new Socket());
  req.rawHeaders = rawHeaders;
  return readCallerRequest(req, Buffer.alloc(0), testHeaders, 0);
}

t.test('requests without an id get different ids', (t) => {
  // All of them had the empty id, so that one received the stored response to another.
  const requests = [readRequestWith('Host', 'a'), readRequestWith('x-request-id', '', 'Host', 'a')];
  t.not(requests[0]?.id, requests[1]?.id);
  for (const { id, headers } of requests) {
    t.match(id, /^[0-9a-f-]{36}$/);
    t.same(headers, [
      ['Host', 'a'],
      ['X-Request-Id', id],
    ]);
  }
  t.end();
});

t.test('request is sent with a single id', (t) => {
  // A backend server joins repeated id headers, and responds with an id that belongs to no request.
  const { id, headers } = readRequestWith('X-Request-Id', '1', 'Host', 'a', 'x-request-id', '2');
  t.equal(id, '1');
  t.same(headers, [
    ['Host', 'a'],
    ['X-Request-Id', '1'],
  ]);
  t.same(readRequestWith('x-request-id', '3', 'Host', 'a').headers, [
    ['x-request-id', '3'],
    ['Host', 'a'],
  ]);
  t.end();
});

t.test('truncated response is shorter than its length header', async (t) => {
  // Without the header, the caller would take a part of the body for the whole.
  for (const version of ['1.0', '1.1']) {
    const { task, port } = await start(t);
    const caller = connect(port, '127.0.0.1');
    let text = '';
    caller.on('data', (chunk) => (text += chunk.toString('latin1')));
    // The caller could have read the whole body before a later call of `pause`.
    caller.once('data', () => caller.pause());
    caller.on('error', () => undefined);
    caller.write(`GET /large HTTP/${version}\r\nHost: a\r\n\r\n`);
    while (text === '') await sleep(1);
    task.stop();
    await sleep(20);
    caller.resume();
    while (!caller.destroyed) await sleep(1);
    const [head = '', body = ''] = text.split('\r\n\r\n');
    t.match(head, /^HTTP\/1\.1 200 /);
    t.match(head, new RegExp(`\r\ncontent-length: ${LARGE_BYTES}$`, 'im'));
    t.ok(body.length < LARGE_BYTES, `${body.length} bytes`);
  }
});
