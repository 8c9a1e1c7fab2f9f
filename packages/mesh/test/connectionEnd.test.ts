import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { ContinueOnFault } from '#core/ContinueOnFault.js';
import { listResponses } from './ListResponses.js';
import { startCallerTask } from './StartCallerTask.js';
import { waitFor } from './WaitFor.js';

const KIB = 1024;
const MIB = 1024 * KIB;

/** Larger than the receive window of a caller that does not read; fits into the kernel's buffers on both sides. */
const BUFFERED_BYTES = MIB;

/** Near the limit of a response body. */
const LARGEST_BYTES = 7 * MIB;

const STUCK_CALLERS = 60;

/** Memory that a daemon may use in all. */
const DAEMON_MEMORY_MIB = 250;

/** Larger than the buffers of the kernel on both sides. */
const LARGE_BYTES = 20 * MIB;

/** Above the idle time of a connection with `SHORT_IDLE_LIMITS` and the margins of the daemon and of Node.js. */
const IDLE_MS = 3_000;

/** Above the time for which the rest of a refused body is awaited. */
const DISCARD_MS = 2_500;

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

t.test('bytes after malformed ones do not destroy the response', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(`${get('1')}\0\0\0`);
  await waitFor(() => run.forwarded.length === 1);
  caller.socket.pause();
  run.respond(0, BUFFERED_BYTES);
  await sleep(100);
  caller.socket.write('more');
  await sleep(50);
  caller.socket.resume();
  await waitFor(() => caller.socket.destroyed);
  t.same(listResponses(caller.text()), [`200 ${BUFFERED_BYTES}`]);
});

t.test('body that never ends does not end the request before it', async (t) => {
  // A refused body that did not end within two seconds destroyed the connection, with requests at work on it.
  const run = await startCallerTask(t);
  const caller = run.send(`${get('1')}${post('2', `Content-Length: ${9 * MIB}`, 'x')}`);
  await waitFor(() => run.forwarded.length === 1);
  await sleep(DISCARD_MS);
  run.respond(0);
  await waitFor(() => listResponses(caller.text()).length === 2 || caller.socket.destroyed);
  t.match(listResponses(caller.text()), ['200 2', /^413 /]);
});

t.test('body that never ends does not cut the response before it', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(`${get('1')}${post('2', `Content-Length: ${9 * MIB}`, 'x')}`);
  await waitFor(() => run.forwarded.length === 1);
  caller.socket.pause();
  run.respond(0, LARGE_BYTES);
  await sleep(DISCARD_MS);
  caller.socket.resume();
  await waitFor(() => caller.text().length > LARGE_BYTES + 200 || caller.socket.destroyed);
  t.match(listResponses(caller.text())[0], `200 ${LARGE_BYTES}`);
});

t.test('CONNECT does not end the request before it', async (t) => {
  // Node.js destroys a connection on which it reads a CONNECT request without a listener.
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  caller.socket.write('CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n');
  await sleep(50);
  run.respond(0);
  await waitFor(() => listResponses(caller.text()).length > 0 || caller.socket.destroyed);
  t.equal(listResponses(caller.text())[0], '200 2');
});

t.test('request behind one without Host is answered or not passed on', async (t) => {
  // Node.js answers a request without Host itself and closes the connection after it.
  const run = await startCallerTask(t);
  const caller = run.send(`GET /p HTTP/1.1\r\n\r\n${get('2')}`);
  await sleep(50);
  run.respond(0);
  await waitFor(() => caller.socket.destroyed || listResponses(caller.text()).length === 2);
  t.equal(listResponses(caller.text())[0], '400 0');
  t.equal(listResponses(caller.text()).length, 1 + run.forwarded.length);
});

t.test('idle timeout does not destroy a response that is being read', async (t) => {
  // The connection counts as idle once the kernel has the response; the reset for a later request destroyed it.
  const run = await startCallerTask(t);
  run.task.post({ type: 'limits', limits: SHORT_IDLE_LIMITS });
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  caller.socket.pause();
  run.respond(0, BUFFERED_BYTES);
  await waitFor(() => run.task.load === 0);
  t.equal(run.task.load, 0, 'the kernel has the response');
  await sleep(IDLE_MS);
  caller.socket.write(get('2'));
  await sleep(50);
  caller.socket.resume();
  await waitFor(() => caller.text().length > BUFFERED_BYTES || caller.socket.destroyed);
  t.equal(listResponses(caller.text())[0], `200 ${BUFFERED_BYTES}`);
});

t.test('later response survives a half-close', async (t) => {
  // Responses that wait for an earlier one were dropped, although their requests had run.
  const run = await startCallerTask(t);
  const caller = run.send(`${get('1')}${get('2')}`);
  await waitFor(() => run.forwarded.length === 2);
  caller.socket.pause();
  run.respond(0, LARGE_BYTES);
  run.respond(1, 3);
  await sleep(50);
  caller.socket.end();
  await sleep(50);
  caller.socket.resume();
  await waitFor(() => caller.socket.destroyed);
  t.same(listResponses(caller.text()), [`200 ${LARGE_BYTES}`, '200 3']);
});

t.test('fault at a reply does not leave requests unanswered', async (t) => {
  // Writing the head threw; the exchange stayed open, and its connection was destroyed ten seconds later.
  const run = await startCallerTask(t);
  run.task.setFaultPolicy(new ContinueOnFault());
  const caller = run.send(`${get('1')}${get('2')}`);
  await waitFor(() => run.forwarded.length === 2);
  const response = { status: 200, headers: [['X-Odd', 'a\u0001b'] as const], body: Buffer.alloc(1) };
  run.forwarded[0]?.reply({ type: 'answer', response });
  run.respond(1, 3);
  await waitFor(() => listResponses(caller.text()).length === 2);
  t.match(listResponses(caller.text()), [/^502 /, '200 3']);
  t.equal(run.task.load, 0);
});

t.test('responses that callers do not read stay within the memory of a daemon', async (t) => {
  // Each body is held until its last byte is written; a process that exceeds its memory ends with all requests.
  const run = await startCallerTask(t);
  const peaks: number[] = [];
  for (let index = 0; index < STUCK_CALLERS; index += 1) {
    const caller = run.send(get(String(index)));
    caller.socket.pause();
    await waitFor(() => run.forwarded.length > index || caller.socket.destroyed);
    run.respond(index, LARGEST_BYTES);
    await sleep(5);
    peaks.push(process.memoryUsage().arrayBuffers);
  }
  const peakMib = Math.round(Math.max(...peaks) / MIB);
  t.ok(peakMib < DAEMON_MEMORY_MIB, `${peakMib} MiB`);
});

t.test('bytes after malformed ones do not destroy the refusal', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send('\0');
  caller.socket.pause();
  for (let count = 0; count < 2; count += 1) {
    await sleep(50);
    caller.socket.write('more');
  }
  await sleep(50);
  caller.socket.resume();
  await waitFor(() => caller.socket.destroyed);
  t.same(listResponses(caller.text()), ['400 0']);
});
