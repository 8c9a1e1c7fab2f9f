import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { listResponses } from './ListResponses.js';
import { startCallerTask } from './StartCallerTask.js';
import { waitFor } from './WaitFor.js';

const KIB = 1024;
const MIB = 1024 * KIB;

/** Larger than the buffers of the kernel on both sides. */
const LARGE_BYTES = 20 * MIB;

/** Above the idle time of a connection with `SHORT_IDLE_LIMITS` and the margins of the daemon and of Node.js. */
const IDLE_MS = 3_000;

/** Above the time after which a response without progress ends its connection. */
const SUSPENSION_MS = 10_500;

const SHORT_IDLE_LIMITS = {
  maxHeaderBytes: 64 * KIB,
  maxBodyBytes: 8 * MIB,
  headerTimeoutMs: 60_000,
  idleTimeoutMs: 100,
};

function get(id: string): string {
  return `GET /p HTTP/1.1\r\nHost: a\r\nX-Request-Id: ${id}\r\n\r\n`;
}

function post(id: string, headers: string, body = ''): string {
  return `POST /p HTTP/1.1\r\nHost: a\r\nX-Request-Id: ${id}\r\n${headers}\r\n\r\n${body}`;
}

t.test('malformed bytes do not end the requests before them', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(`${get('1')}${get('2')}\0\0\0`);
  await waitFor(() => run.forwarded.length === 2);
  run.respond(1, 3);
  await sleep(50);
  run.respond(0);
  await waitFor(() => caller.socket.destroyed);
  t.same(listResponses(caller.text()), ['200 2', '200 3']);
});

t.test('malformed body does not end the request before it', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(`${get('1')}${post('2', 'Transfer-Encoding: chunked', 'zz\r\n')}`);
  await waitFor(() => run.forwarded.length === 1);
  await sleep(50);
  run.respond(0);
  await waitFor(() => caller.socket.destroyed);
  t.match(listResponses(caller.text()), ['200 2', /^400 /]);
});

t.test('request behind the last one of a connection is not passed on', async (t) => {
  for (const last of [
    'GET /p HTTP/1.0\r\nHost: a\r\n\r\n',
    'GET /p HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n',
  ]) {
    const run = await startCallerTask(t);
    const caller = run.send(`${last}${get('2')}`);
    await waitFor(() => run.forwarded.length > 0);
    await sleep(50);
    run.respond(0);
    await waitFor(() => caller.socket.destroyed);
    t.equal(run.forwarded.length, 1);
    t.match(caller.text(), /^HTTP\/1\.1 200 /);
  }
});

t.test('idle timeout spares a connection with a request at work', async (t) => {
  const run = await startCallerTask(t);
  run.task.post({ type: 'limits', limits: SHORT_IDLE_LIMITS });
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  run.respond(0);
  await waitFor(() => caller.text() !== '');
  caller.socket.write(get('2'));
  await sleep(IDLE_MS);
  run.respond(1, 3);
  await waitFor(() => listResponses(caller.text()).length === 2);
  t.same(listResponses(caller.text()), ['200 2', '200 3']);
});

t.test('response that is being written survives a half-close', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  caller.socket.pause();
  run.respond(0, LARGE_BYTES);
  await sleep(50);
  caller.socket.end();
  await sleep(50);
  caller.socket.resume();
  await waitFor(() => caller.socket.destroyed);
  t.same(listResponses(caller.text()), [`200 ${LARGE_BYTES}`]);
});

t.test('half-close cancels the request at work', async (t) => {
  // It cannot be told from a close, after which the request must not stay at work.
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  caller.socket.end();
  await waitFor(() => run.left.length === 1);
  t.equal(run.left.length, 1);
  await waitFor(() => caller.socket.destroyed);
  t.equal(run.task.load, 0);
});

t.test('time without processor does not cut a response', async (t) => {
  // After such a time, timers that are due run before the sockets are served.
  const run = await startCallerTask(t);
  const caller = run.send(`${get('1')}${get('2')}`);
  await waitFor(() => run.forwarded.length === 2);
  caller.socket.once('data', () =>
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, SUSPENSION_MS),
  );
  run.respond(0, LARGE_BYTES);
  await waitFor(() => caller.text().length > LARGE_BYTES || caller.socket.destroyed);
  run.respond(1, 3);
  await waitFor(() => listResponses(caller.text()).length === 2 || caller.socket.destroyed);
  t.same(listResponses(caller.text()), [`200 ${LARGE_BYTES}`, '200 3']);
});
