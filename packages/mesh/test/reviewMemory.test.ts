import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { listResponses } from './ListResponses.js';
import { startCallerTask } from './StartCallerTask.js';
import { waitFor } from './WaitFor.js';

const MIB = 1024 * 1024;

/** Near the limit of a response body. */
const LARGE_BYTES = 7 * MIB;

const STUCK_CALLERS = 16;

/** Memory that a daemon may use in all. */
const DAEMON_MEMORY_MIB = 250;

const READ_INTERVAL_MS = 20;

function get(id: string): string {
  return `GET /p HTTP/1.1\r\nHost: a\r\nX-Request-Id: ${id}\r\n\r\n`;
}

type Run = Awaited<ReturnType<typeof startCallerTask>>;

/** Connects callers that do not read, and answers each with a large response. */
async function connectStuck(
  run: Run,
  count: number,
  afterResponse?: (run: ReturnType<Run['send']>) => void,
): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    const before = run.forwarded.length;
    const caller = run.send(get(`stuck-${index}`));
    caller.socket.pause();
    await waitFor(() => run.forwarded.length > before);
    run.respond(before, LARGE_BYTES);
    await sleep(5);
    afterResponse?.(caller);
  }
}

t.test('request at work is not ended for the memory of a response that waits behind it', async (t) => {
  // The oldest response goes first, although its caller reads and an earlier request on the connection is at work.
  const run = await startCallerTask(t);
  const caller = run.send(`${get('1')}${get('2')}`);
  await waitFor(() => run.forwarded.length === 2);
  run.respond(1, LARGE_BYTES);
  await connectStuck(run, STUCK_CALLERS);
  run.respond(0);
  await waitFor(() => caller.text().length > LARGE_BYTES || caller.socket.destroyed);
  t.same(listResponses(caller.text()), ['200 2', `200 ${LARGE_BYTES}`]);
});

t.test('caller that reads steadily is not cut for callers that do not read', async (t) => {
  const run = await startCallerTask(t);
  const caller = run.send(get('1'));
  await waitFor(() => run.forwarded.length === 1);
  const pause = (): unknown => caller.socket.pause();
  caller.socket.on('data', pause);
  const reading = setInterval(() => caller.socket.resume(), READ_INTERVAL_MS);
  t.teardown(() => clearInterval(reading));
  run.respond(0, LARGE_BYTES);
  await connectStuck(run, STUCK_CALLERS);
  await waitFor(() => listResponses(caller.text())[0] === `200 ${LARGE_BYTES}` || caller.socket.destroyed);
  t.equal(listResponses(caller.text())[0], `200 ${LARGE_BYTES}`);
});

t.test('responses of half-closed callers stay within the memory of a daemon', async (t) => {
  // The exchange of a half-closed caller ends, but its response still waits in the socket.
  const run = await startCallerTask(t);
  const peaks: number[] = [];
  await connectStuck(run, 60, (caller) => {
    caller.socket.end();
    peaks.push(process.memoryUsage().arrayBuffers);
  });
  const peakMib = Math.round(Math.max(...peaks) / MIB);
  t.ok(peakMib < DAEMON_MEMORY_MIB, `${peakMib} MiB`);
});
