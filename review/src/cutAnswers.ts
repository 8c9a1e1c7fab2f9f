import { Agent, request } from 'node:http';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Address } from '#mesh/Address.js';
import { CaseRecord } from './CaseRecord.js';
import { createManifestWithLimits } from './createManifestWithLimits.js';
import { StartedFleet } from './StartedFleet.js';

/** Clients that pipeline: some requests with long answers, and behind them one with much work. */
const READERS = 10;
const READER_GAP_MS = 80;
const LONG_ANSWERS = 5;
const LONG_ANSWER_BYTES = 2_000_000;
const SHORT_ANSWER_BYTES = 100;
const LITTLE_WORK_MS = 20;
const MUCH_WORK_MS = 4_000;

/** What a slow client reads, and how often. */
const READ_BYTES = 1_024;
const READ_INTERVAL_MS = 100;

/** Ordinary clients: each has one kept channel, and sends a request that may run once when the one before is answered. */
const CALLERS = 6;
const ANSWER_BYTES = 5_000_000;
const CALLER_PAUSE_MS = 100;

const TIME_BUDGET_MS = 5_000;
const ROUNDS = 5;
const ROUND_MS = 6_000;

const COUNT = 8;
const CALLED = 4;
const LINK_BYTES_PER_SECOND = 125_000_000;

/** The rule allows this many channels that are closed without the answer of a request that was passed on. */
const ALLOWED = 3;

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

const trouble = process.env.TROUBLE !== '0';
const record = new CaseRecord(process.argv[2] ?? 'record.txt');
const cut = new Map<string, string>();
let answered = 0;
let sent = 0;
let isOver = false;

function nextId(): string {
  sent += 1;
  return `request-${sent}`;
}

function createHeaders(id: string, answerBytes: number, workMs: number): Readonly<Record<string, string>> {
  return {
    host: 'soak.example',
    'x-request-id': id,
    'x-deadline-ms': String(TIME_BUDGET_MS),
    'x-response-bytes': String(answerBytes),
    'x-work-ms': String(workMs),
  };
}

function createGet(answerBytes: number, workMs: number): string {
  const id = nextId();
  const fields = Object.entries(createHeaders(id, answerBytes, workMs));
  record.add(`sent ${id}: GET /safe/${sent}, answer of ${answerBytes} bytes, work of ${workMs} ms`);
  return `GET /safe/${sent} HTTP/1.1\r\n${fields.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
}

function openReader(address: Address): Socket {
  const socket = connect(address.port, address.host);
  socket.on('error', () => undefined);
  const long = Array.from({ length: LONG_ANSWERS }, () => createGet(LONG_ANSWER_BYTES, LITTLE_WORK_MS));
  socket.write([...long, createGet(SHORT_ANSWER_BYTES, MUCH_WORK_MS)].join(''));
  if (!trouble) return socket.resume();
  socket.pause();
  const timer = setInterval(() => void socket.read(READ_BYTES), READ_INTERVAL_MS);
  socket.on('close', () => clearInterval(timer));
  return socket;
}

/** Sends one request on the kept channel of a client; notes whether the channel ends without the whole answer. */
function call(address: Address, agent: Agent): Promise<void> {
  const id = nextId();
  record.add(`sent ${id}: POST /unsafe/${sent}, answer of ${ANSWER_BYTES} bytes`);
  return new Promise((resolve) => {
    const headers = { ...createHeaders(id, ANSWER_BYTES, LITTLE_WORK_MS), 'content-length': '2' };
    const end = (result: string): void => {
      record.add(`ordinary ${id}: ${result}`);
      resolve();
    };
    const req = request({ ...address, method: 'POST', path: `/unsafe/${sent}`, headers, agent }, (res) => {
      res.resume();
      res.on('end', () => {
        answered += 1;
        end(String(res.statusCode));
      });
      res.on('error', (err) => {
        cut.set(id, err.message);
        end(`status ${res.statusCode}, then ${err.message}`);
      });
    });
    req.on('error', (err) => {
      cut.set(id, err.message);
      end(err.message);
    });
    req.end('{}');
  });
}

async function callOften(address: Address): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  while (!isOver) {
    await call(address, agent);
    await sleep(CALLER_PAUSE_MS);
  }
  agent.destroy();
}

async function playRound(address: Address): Promise<void> {
  const untilMs = performance.now() + ROUND_MS;
  const sockets: Socket[] = []; // eslint-disable-line no-restricted-syntax -- local
  while (performance.now() < untilMs) {
    if (sockets.length < READERS) sockets.push(openReader(address));
    await sleep(READER_GAP_MS);
  }
  for (const socket of sockets) socket.destroy();
}

async function run(): Promise<number> {
  const safe = { prefix: '/safe/', keyed: false, idempotent: true };
  const unsafe = { prefix: '/unsafe/', keyed: false, idempotent: false };
  const fleet = await StartedFleet.start({
    manifest: createManifestWithLimits([safe, unsafe], TIME_BUDGET_MS),
    count: COUNT,
    seed: 8,
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
  });
  const address = fleet.endpoints[CALLED]?.callers;
  if (address === undefined) return EXIT_NOT_RUN;
  const callers = Array.from({ length: CALLERS }, () => callOften(address));
  for (let round = 0; round < ROUNDS; round += 1) await playRound(address);
  isOver = true;
  await Promise.all(callers);
  const replied = new Set(fleet.events.flatMap((each) => (each.type === 'replied' ? [each.id] : [])));
  for (const event of fleet.events) {
    if (event.type === 'arrived' && event.ran) record.add(`run ${event.id} by ${event.run}`);
    if (event.type === 'replied') record.add(`answered whole by ${event.run}: ${event.id} ${event.status}`);
  }
  const bytes = fleet.daemons[CALLED]?.usage?.residentBytes ?? 0;
  await fleet.stop();
  const lost = [...cut.keys()].filter((id) => replied.has(id));
  for (const id of lost) record.report(`LOST ${id}: its instance sent the whole answer; ${cut.get(id)}`);
  record.report(
    `ordinary requests: ${answered} answered, ${cut.size} cut, ${lost.length} of these run and answered`,
  );
  record.report(
    `by a sound instance; ${Math.round(bytes / 1_048_576)} MiB resident, ${fleet.exits.length} daemons ended`,
  );
  return lost.length > ALLOWED ? EXIT_BROKEN : EXIT_HELD;
}

process.exitCode = await run().catch((err: unknown) => {
  record.report(`not run: ${String(err)}`);
  return EXIT_NOT_RUN;
});
record.save();
process.exit();
