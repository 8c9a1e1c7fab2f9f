import { request } from 'node:http';
import t from 'tap';
import { Logger } from '#core/Logger.js';
import { SystemClock } from '#core/SystemClock.js';
import { CallerTask } from '#mesh/CallerTask.js';
import { findFreePort } from './FindFreePort.js';
import { testHeaders } from './TestHeaders.js';

const MIB = 1024 * 1024;

/** A `CallerTask` that answers each request with the length of its body. */
async function start(t: { readonly teardown: (close: () => unknown) => void }): Promise<{
  readonly task: CallerTask;
  /** Sends a body whose last byte follows after `holdMs`, and resolves with the status and text of the answer. */
  readonly post: (bytes: number, holdMs?: number) => Promise<string>;
}> {
  const port = await findFreePort();
  const task = new CallerTask({
    host: '127.0.0.1',
    port,
    headers: testHeaders,
    clock: new SystemClock(),
    logger: new Logger('test'),
    onAccepted: () => undefined,
    onRequest: (_exchange, { body }, reply) =>
      reply({
        type: 'answer',
        answer: { status: 200, headers: [], body: Buffer.from(String(body.length)) },
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
  return { task, post };
}

t.test('body of several MiB is read', async (t) => {
  const { post } = await start(t);
  t.equal(await post(7 * MIB), `200 ${7 * MIB}`);
});

t.test('body above the limit is refused before the configuration is known', async (t) => {
  // Any number of bytes was kept in memory.
  const { post } = await start(t);
  t.match(await post(9 * MIB), /^413 /);
  t.equal(await post(5), '200 5', 'the next one is read');
});

t.test('configured limit cannot exceed what the daemon bears', async (t) => {
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

t.test('bodies of callers share a limit', async (t) => {
  const { post } = await start(t);
  const replies = await Promise.all(Array.from({ length: 6 }, () => post(8 * MIB, 1_000)));
  t.ok(
    replies.some((reply) => reply.startsWith('503 ')),
    replies.join(', '),
  );
  t.equal(await post(5), '200 5', 'small ones are read');
});
