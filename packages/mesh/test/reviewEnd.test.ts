import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { listResponses } from './ListResponses.js';
import { startCallerTask } from './StartCallerTask.js';
import { waitFor } from './WaitFor.js';

const KIB = 1024;
const MIB = 1024 * KIB;

/** Fits into the buffers of the kernel of a caller that does not read. */
const BUFFERED_BYTES = MIB;

/** More than the buffers of the kernel on both sides. */
const LARGE_BYTES = 20 * MIB;

/** Above the time for which an ended connection waits for its caller. */
const LINGER_LIMIT_MS = 5_200;

const LIMITS = {
  maxHeaderBytes: 64 * KIB,
  maxBodyBytes: 10,
  headerTimeoutMs: 60_000,
  idleTimeoutMs: 100,
};

function get(id: string): string {
  return `GET /p HTTP/1.1\r\nHost: a\r\nX-Request-Id: ${id}\r\n\r\n`;
}

/** Sends a request and stops the event loop before the sockets are read, as a process without processor time does. */
function sendAndStall(socket: Socket, text: string, durationMs: number): Promise<void> {
  return new Promise((resolve) =>
    setImmediate(() => {
      socket.write(text);
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
      resolve();
    }),
  );
}

t.test('request that arrived before the end of a stop is answered', async (t) => {
  // Timers run before the sockets are read: an idle connection ends with a request that has arrived on it.
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  run.respond(0);
  await waitFor(() => listResponses(caller.text()).length === 1);
  run.task.post({ type: 'stopping' });
  await sleep(20);
  setTimeout(() => run.task.post({ type: 'ending' }), 20);
  await sendAndStall(caller.socket, get('2'), 300);
  await waitFor(() => run.forwarded.length === 2 || caller.socket.destroyed);
  run.respond(1, 3);
  await waitFor(() => caller.socket.destroyed);
  t.same(listResponses(caller.text()), ['200 2', '200 3']);
});

t.test('request that arrived before the idle timeout is answered', async (t) => {
  const run = await startCallerTask(t);
  run.task.post({ type: 'limits', limits: LIMITS });
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  run.respond(0);
  await waitFor(() => listResponses(caller.text()).length === 1);
  await sleep(100);
  await sendAndStall(caller.socket, get('2'), 2_500);
  await waitFor(() => run.forwarded.length === 2 || caller.socket.destroyed);
  run.respond(1, 3);
  await waitFor(() => listResponses(caller.text()).length === 2 || caller.socket.destroyed);
  t.same(listResponses(caller.text()), ['200 2', '200 3']);
});

t.test('refusal behind a request at work survives a stop', async (t) => {
  // The exchange of a refused request ends with its body, although its response waits for an earlier one.
  const run = await startCallerTask(t);
  run.task.post({ type: 'limits', limits: LIMITS });
  const caller = run.send(
    `${get('1')}POST /p HTTP/1.1\r\nHost: a\r\nX-Request-Id: 2\r\nContent-Length: 20\r\n\r\n${'x'.repeat(20)}`,
  );
  await waitFor(() => run.forwarded.length === 1);
  await sleep(50);
  run.task.post({ type: 'stopping' });
  await sleep(20);
  run.respond(0);
  await waitFor(() => caller.socket.destroyed);
  t.match(listResponses(caller.text()), ['200 2', /^413 /]);
});

t.test('end of a stop does not cut the response to a half-closed caller', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  caller.socket.pause();
  run.respond(0, LARGE_BYTES);
  await sleep(50);
  caller.socket.end();
  await sleep(50);
  run.task.post({ type: 'stopping' });
  t.ok(run.task.load > 0, 'the stop waits for the response');
  run.task.post({ type: 'ending' });
  await sleep(300);
  caller.socket.resume();
  await waitFor(() => caller.socket.destroyed);
  t.equal(caller.text().length > LARGE_BYTES, true, `${caller.text().length} bytes`);
});

t.test('end of a stop does not reset a response that is read slowly', async (t) => {
  // An idle connection is closed 100 ms after its end if its last byte left the process long ago.
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  caller.socket.pause();
  run.respond(0, BUFFERED_BYTES);
  await waitFor(() => run.task.load === 0);
  await sleep(LINGER_LIMIT_MS);
  run.task.post({ type: 'stopping' });
  run.task.post({ type: 'ending' });
  await sleep(200);
  caller.socket.write(get('2'));
  await sleep(50);
  caller.socket.resume();
  await waitFor(() => caller.socket.destroyed);
  t.equal(listResponses(caller.text())[0], `200 ${BUFFERED_BYTES}`);
});

t.test('stall of the daemon does not reset a connection that ends', async (t) => {
  // The timer of an ended connection runs before the sockets are read; a close with unread bytes is a reset.
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  caller.socket.pause();
  run.task.post({ type: 'stopping' });
  run.respond(0, BUFFERED_BYTES);
  await sleep(200);
  await sendAndStall(caller.socket, get('2'), LINGER_LIMIT_MS);
  await sleep(50);
  caller.socket.resume();
  await waitFor(() => caller.socket.destroyed);
  t.equal(listResponses(caller.text())[0], `200 ${BUFFERED_BYTES}`);
});

t.test('many pipelined requests do not occupy the event loop', async (t) => {
  // The set of the open requests of a connection is copied for each request.
  const run = await startCallerTask(t);
  const caller = run.send(get('1').repeat(10_000));
  let longestMs = 0;
  const endMs = performance.now() + 10_000;
  while (run.forwarded.length < 10_000 && performance.now() < endMs) {
    const startMs = performance.now();
    await sleep(1);
    longestMs = Math.max(longestMs, performance.now() - startMs);
  }
  caller.socket.destroy();
  t.ok(
    longestMs < 200,
    `event loop occupied for ${Math.round(longestMs)} ms, ${run.forwarded.length} requests read`,
  );
});
