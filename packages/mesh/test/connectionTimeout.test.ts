import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { listResponses } from './ListResponses.js';
import { startCallerTask } from './StartCallerTask.js';
import { waitFor } from './WaitFor.js';

t.jobs = 4;

/** Above the time after which a response without progress ends its connection. */
const STALL_MS = 11_000;

/** Above twice that time: the first expiry of a socket's timer only notes the progress. */
const SLOW_READING_MS = 25_000;

/** Interval at which the slow caller reads one chunk of at most 64 KiB. */
const SLOW_READ_INTERVAL_MS = 2_000;

/** Above the interval at which Node.js checks for heads that do not arrive. */
const HEAD_CHECK_MS = 32_000;

/** Larger than the buffers of the kernel on both sides. */
const LARGE_BYTES = 20 * 1024 * 1024;

const SHORT_HEAD_LIMITS = {
  maxHeaderBytes: 65_536,
  maxBodyBytes: 65_536,
  headerTimeoutMs: 500,
  idleTimeoutMs: 60_000,
};

function get(id: string): string {
  return `GET /p HTTP/1.1\r\nHost: a\r\nX-Request-Id: ${id}\r\n\r\n`;
}

t.test('request that takes long is not ended by an earlier response', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(`${get('1')}${get('2')}`);
  await waitFor(() => run.forwarded.length === 2);
  run.respond(0);
  await sleep(STALL_MS);
  run.respond(1, 3);
  await waitFor(() => listResponses(caller.text()).length === 2 || caller.socket.destroyed);
  t.same(listResponses(caller.text()), ['200 2', '200 3']);
});

t.test('head that does not arrive does not end the request before it', { timeout: 60_000 }, async (t) => {
  const run = await startCallerTask(t);
  run.task.post({ type: 'limits', limits: SHORT_HEAD_LIMITS });
  const caller = run.send(`${get('1')}GET /p HTTP/1.1\r\nHo`);
  await waitFor(() => run.forwarded.length === 1);
  await sleep(HEAD_CHECK_MS);
  run.respond(0);
  await waitFor(() => listResponses(caller.text()).length > 0 || caller.socket.destroyed);
  t.equal(listResponses(caller.text())[0], '200 2');
});

t.test('head that arrives late is answered or not passed on', { timeout: 60_000 }, async (t) => {
  const run = await startCallerTask(t);
  run.task.post({ type: 'limits', limits: SHORT_HEAD_LIMITS });
  const caller = run.send(`${get('1')}GET /p HTTP/1.1\r\nHo`);
  await waitFor(() => run.forwarded.length === 1);
  await sleep(HEAD_CHECK_MS);
  caller.socket.write('st: a\r\nX-Request-Id: 2\r\n\r\n');
  await sleep(50);
  run.respond(0);
  await sleep(50);
  run.respond(1, 3);
  await waitFor(() => caller.socket.destroyed);
  t.equal(listResponses(caller.text())[0], '200 2');
  t.equal(listResponses(caller.text()).length, run.forwarded.length);
});

t.test('early reply to a later request does not end the request before it', async (t) => {
  // The reply waited for the earlier one, which was taken for a caller that had stopped reading.
  const run = await startCallerTask(t);
  const caller = run.send(`${get('1')}${get('2')}`);
  await waitFor(() => run.forwarded.length === 2);
  run.respond(1, 3);
  await sleep(STALL_MS);
  run.respond(0);
  await waitFor(() => listResponses(caller.text()).length === 2 || caller.socket.destroyed);
  t.same(listResponses(caller.text()), ['200 2', '200 3']);
});

t.test('caller that reads slowly gets the whole response', { timeout: 60_000 }, async (t) => {
  // The process can write nothing for many seconds while the caller reads what the kernel holds.
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  const pause = (): unknown => caller.socket.pause();
  caller.socket.on('data', pause);
  const reading = setInterval(() => caller.socket.resume(), SLOW_READ_INTERVAL_MS);
  run.respond(0, LARGE_BYTES);
  await sleep(SLOW_READING_MS);
  clearInterval(reading);
  t.ok(caller.text().length < LARGE_BYTES / 2, `${caller.text().length} bytes were read slowly`);
  caller.socket.off('data', pause);
  caller.socket.resume();
  await waitFor(() => caller.text().length > LARGE_BYTES || caller.socket.destroyed);
  t.same(listResponses(caller.text()), [`200 ${LARGE_BYTES}`]);
});
