import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { DaemonProcess } from '#fixtures/DaemonProcess.js';
import type { Address } from '#mesh/Address.js';
import { CaseRecord } from './CaseRecord.js';
import { createManifestWithLimits } from './createManifestWithLimits.js';
import { StartedFleet } from './StartedFleet.js';

/** Clients of one daemon, and the time between the connections of two of them. */
const CLIENTS = 40;
const CLIENT_GAP_MS = 60;

/** Requests that a client sends at once: some with a long answer, and behind them one with much work. */
const LONG_ANSWERS = 6;
const LONG_ANSWER_BYTES = 3_000_000;
const SHORT_ANSWER_BYTES = 100;
const LITTLE_WORK_MS = 20;
const MUCH_WORK_MS = 4_000;

/** Time budget of the clients, and timeout of the route. */
const TIME_BUDGET_MS = 5_000;

/** What a slow client reads, and how often. */
const READ_BYTES = 1_024;
const READ_INTERVAL_MS = 100;

/** Memory of a machine; the platform kills a process that exceeds it, and starts it again. */
const MEMORY_BYTES = 350 * 1_024 * 1_024;
const SAMPLE_INTERVAL_MS = 20;
const RESTART_DELAY_MS = 500;
const READY_TIMEOUT_MS = 10_000;

/** Machines, the daemons that the clients call, and how often each of them is called by a crowd. */
const COUNT = 8;
const CALLED: readonly number[] = [4, 5];
const ROUNDS = 6;
const ROUND_MS = 6_500;

/** The rule is broken if processes end this often on this many machines: a tenth, but two at least. */
const ENDS_PER_MACHINE = 3;
const MACHINES = Math.max(2, Math.ceil(COUNT / 10));

const LINK_BYTES_PER_SECOND = 125_000_000;
const MIB = 1_024 * 1_024;

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

const trouble = process.env.TROUBLE !== '0';
const record = new CaseRecord(process.argv[2] ?? 'record.txt');
const ends = new Map<number, number>();
const peaks = new Map<number, number>();
let sent = 0;
let received = 0;

function createRequest(answerBytes: number, workMs: number): string {
  sent += 1;
  const fields = {
    host: 'soak.example',
    'x-request-id': `request-${sent}`,
    'x-deadline-ms': String(TIME_BUDGET_MS),
    'x-response-bytes': String(answerBytes),
    'x-work-ms': String(workMs),
  };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  record.add(`sent request-${sent}: GET /safe/${sent}, answer of ${answerBytes} bytes, work of ${workMs} ms`);
  return `GET /safe/${sent} HTTP/1.1\r\n${lines.join('')}\r\n`;
}

/** Opens a client that sends all of its requests at once, and reads the answers slowly or as they come. */
function openClient(address: Address): Socket {
  const first = sent + 1;
  let bytes = 0;
  const socket = connect(address.port, address.host);
  socket.on('error', () => undefined);
  socket.on('close', () => {
    received += bytes;
    record.add(`the client of request-${first} and the next ones has read ${bytes} bytes of answers`);
  });
  const long = Array.from({ length: LONG_ANSWERS }, () => createRequest(LONG_ANSWER_BYTES, LITTLE_WORK_MS));
  socket.write([...long, createRequest(SHORT_ANSWER_BYTES, MUCH_WORK_MS)].join(''));
  if (!trouble) {
    socket.on('data', (chunk) => {
      bytes += chunk.length;
    });
    return socket;
  }
  socket.pause();
  const timer = setInterval(() => {
    bytes += (socket.read(READ_BYTES) as Buffer | null)?.length ?? 0;
  }, READ_INTERVAL_MS);
  socket.on('close', () => clearInterval(timer));
  return socket;
}

/** Kills a process over its memory, as the platform does; starts it again unless the case ends. */
async function limitMemory(daemon: DaemonProcess, index: number, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await sleep(SAMPLE_INTERVAL_MS);
    const bytes = daemon.usage?.residentBytes ?? 0;
    peaks.set(index, Math.max(peaks.get(index) ?? 0, bytes));
    if (bytes <= MEMORY_BYTES) continue;
    record.report(
      `daemon ${index} uses ${Math.round(bytes / MIB)} MiB and is killed at ${Math.round(performance.now())} ms`,
    );
    ends.set(index, (ends.get(index) ?? 0) + 1);
    await daemon.end(false);
    await sleep(RESTART_DELAY_MS);
    await daemon.start();
  }
}

async function playRound(fleet: StartedFleet, index: number): Promise<void> {
  const daemon = fleet.daemons[index];
  const address = fleet.endpoints[index]?.callers;
  if (daemon === undefined || address === undefined) return;
  await daemon.waitReady(READY_TIMEOUT_MS);
  const endsBefore = ends.get(index) ?? 0;
  const untilMs = performance.now() + ROUND_MS;
  const sockets: Socket[] = []; // eslint-disable-line no-restricted-syntax -- local
  while (performance.now() < untilMs && (ends.get(index) ?? 0) === endsBefore) {
    if (sockets.length < CLIENTS) sockets.push(openClient(address));
    await sleep(CLIENT_GAP_MS);
  }
  for (const socket of sockets) socket.destroy();
  const residentBytes = daemon.usage?.residentBytes ?? 0;
  record.add(
    `round at daemon ${index}: ${sockets.length} clients, then ${Math.round(residentBytes / MIB)} MiB resident`,
  );
}

/** Number of machines whose processes have ended as often as breaks the rule. */
function countOften(): number {
  return [...ends.values()].filter((count) => count >= ENDS_PER_MACHINE).length;
}

async function run(): Promise<number> {
  const requestClass = { prefix: '/safe/', keyed: false, idempotent: true };
  const fleet = await StartedFleet.start({
    manifest: createManifestWithLimits([requestClass], TIME_BUDGET_MS),
    count: COUNT,
    seed: 7,
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
  });
  const ending = new AbortController();
  const limits = fleet.daemons.map((daemon, index) => limitMemory(daemon, index, ending.signal));
  for (let round = 0; round < ROUNDS && countOften() < MACHINES; round += 1)
    for (const index of CALLED) await playRound(fleet, index);
  ending.abort();
  await Promise.all(limits);
  for (const event of fleet.events)
    if (event.type === 'arrived' && event.ran) record.add(`run ${event.id} by ${event.run}`);
  await fleet.stop();
  const often = countOften();
  for (const [index, bytes] of peaks)
    record.report(
      `daemon ${index}: ${ends.get(index) ?? 0} ends over memory, at most ${Math.round(bytes / MIB)} MiB resident`,
    );
  record.report(`${sent} requests sent, ${Math.round(received / MIB)} MiB read by clients`);
  record.report(`${often} machines with ${ENDS_PER_MACHINE} ends or more; other ends: ${fleet.exits.length}`);
  return often >= MACHINES ? EXIT_BROKEN : EXIT_HELD;
}

process.exitCode = await run().catch((err: unknown) => {
  record.report(`not run: ${String(err)}`);
  return EXIT_NOT_RUN;
});
record.save();
process.exit();
