import { randomBytes } from 'node:crypto';
import { request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Address } from '#mesh/Address.js';
import { CaseRecord } from './CaseRecord.js';
import { createManifestWithLimits } from './createManifestWithLimits.js';
import { StartedFleet } from './StartedFleet.js';

/** Uploads of one wave in calm, and in a burst: 1.667 times as many. */
const CALM_UPLOADS = 6;
const BURST_UPLOADS = 10;

/** Size of an upload, and of an ordinary request. */
const UPLOAD_BYTES = 2_300_000;
const ORDINARY_BYTES = 200;

/** Ordinary requests that arrive while the uploads do, and the time between two of them. */
const ORDINARY = 30;
const ORDINARY_GAP_MS = 8;

/** Work of an instance on a request. */
const WORK_MS = 40;

/** Time budget of the requests that may run once on the site `kanwa-mesh-grown`, rounded down. */
const TIME_BUDGET_MS = 4_000;
const WAVES = 60;
const PAUSE_MS = 300;

/** Every other wave is a burst, which takes less than 3 s. */
const BURST_EVERY = 2;

/** The fastest links of the site have 140 Mbit/s. */
const LINK_BYTES_PER_SECOND = 17_500_000;

/** Daemon that the clients call; the instances that serve the route stand beside two others. */
const CALLED = 0;
const COUNT = 4;

/** Statuses that promise that a request has not run. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

const trouble = process.env.TROUBLE !== '0';
const record = new CaseRecord(process.argv[2] ?? 'record.txt');
const answers = new Map<string, number>();
let sent = 0;

/** Sends a request that may run once on a connection of its own; resolves with the end of the attempt. */
function send(address: Address, bytes: number): Promise<void> {
  sent += 1;
  const id = `request-${sent}`;
  const path = `/unsafe/${sent}`;
  record.add(`sent ${id} POST ${path} ${bytes} bytes`);
  return new Promise((resolve) => {
    const headers = {
      host: 'soak.example',
      'x-request-id': id,
      'x-deadline-ms': String(TIME_BUDGET_MS),
      'x-work-ms': String(WORK_MS),
      'content-length': String(bytes),
    };
    const req = request({ ...address, method: 'POST', path, headers, agent: false }, (res) => {
      res.resume();
      res.on('end', () => {
        answers.set(id, res.statusCode ?? 0);
        record.add(`answered ${id} ${res.statusCode}`);
        resolve();
      });
    });
    req.on('error', (err) => {
      record.add(`ended ${id} without an answer: ${err.message}`);
      resolve();
    });
    req.end(randomBytes(bytes));
  });
}

async function sendWave(address: Address, isBurst: boolean): Promise<void> {
  const length = isBurst ? BURST_UPLOADS : CALM_UPLOADS;
  record.add(`wave of ${length} uploads at ${Math.round(performance.now())} ms`);
  const uploads = Array.from({ length }, () => send(address, UPLOAD_BYTES));
  const ordinary: Promise<void>[] = []; // eslint-disable-line no-restricted-syntax -- local
  for (let count = 0; count < ORDINARY; count += 1) {
    ordinary.push(send(address, ORDINARY_BYTES));
    await sleep(ORDINARY_GAP_MS);
  }
  await Promise.all([...uploads, ...ordinary]);
}

async function run(): Promise<number> {
  const requestClass = { prefix: '/unsafe/', keyed: false, idempotent: false };
  const fleet = await StartedFleet.start({
    manifest: createManifestWithLimits([requestClass], TIME_BUDGET_MS),
    count: COUNT,
    seed: 6,
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
  });
  const address = fleet.endpoints[CALLED]?.callers;
  if (address === undefined) return EXIT_NOT_RUN;
  for (let wave = 0; wave < WAVES; wave += 1) {
    await sendWave(address, trouble && wave % BURST_EVERY === 0);
    await sleep(PAUSE_MS);
  }
  const runs = new Map<string, readonly string[]>();
  for (const event of fleet.events) {
    if (event.type !== 'arrived' || !event.ran) continue;
    record.add(`run ${event.id} by ${event.run} at ${Math.round(event.at)} ms`);
    runs.set(event.id, [...(runs.get(event.id) ?? []), event.run]);
  }
  await fleet.stop();
  const twice = [...runs].filter(([, servers]) => servers.length > 1);
  const refused = [...runs].filter(([id]) => PROMISES.has(answers.get(id) ?? 0));
  for (const [id, servers] of twice) record.report(`TWICE ${id} was run by ${servers.join(' and ')}`);
  for (const [id, servers] of refused)
    record.report(`REFUSED ${id} was answered ${answers.get(id)} and was run by ${servers.join(' and ')}`);
  const served = [...answers.values()].filter((status) => status === 200).length;
  record.report(`${sent} sent, ${served} answered 200, ${runs.size} run, ${twice.length} run twice,`);
  record.report(`${refused.length} refused although run, ${fleet.exits.length} daemons ended`);
  return twice.length + refused.length > 0 ? EXIT_BROKEN : EXIT_HELD;
}

process.exitCode = await run().catch((err: unknown) => {
  record.report(`not run: ${String(err)}`);
  return EXIT_NOT_RUN;
});
record.save();
process.exit();
