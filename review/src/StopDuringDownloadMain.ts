import { setTimeout as sleep } from 'node:timers/promises';
import { CallerConnection } from '#fixtures/CallerConnection.js';
import { createManifest } from '#fixtures/CreateManifest.js';
import type { RequestClass } from '#fixtures/RequestClass.js';
import { waitUntil } from '#fixtures/WaitUntil.js';
import { selectEvents } from '#soak/SelectEvents.js';
import type { CaseContext } from './CaseContext.js';
import { LargeResponse } from './LargeResponse.js';
import { runCase } from './RunCase.js';
import { SlowDownload } from './SlowDownload.js';

const EXPORT: RequestClass = { prefix: '/export/', keyed: false, idempotent: false };

/** Size of each response. */
const BODY_BYTES = 6 * 1024 * 1024;

/** The rate at which a client reads: its download takes 2 s. */
const BYTES_PER_SECOND = 3 * 1024 * 1024;

/** Time budget of each request and timeout of its route. */
const DEADLINE_MS = 5_000;

const CLIENTS = 3;

/** Moment of the SIGTERM, after the requests were sent. */
const STOP_AFTER_MS = 500;

/** The daemon beside a backend server without keys. */
const PLAIN = 1;

const START_TIMEOUT_MS = 20_000;

async function run({ environment, trouble, record }: CaseContext): Promise<readonly string[]> {
  const endpoints = environment.endpoints[PLAIN];
  const daemon = environment.daemons[PLAIN];
  if (endpoints === undefined || daemon === undefined) throw new Error('no daemon');
  const probe = new CallerConnection(endpoints.callers);
  const headers = { host: 'soak.example', 'x-request-id': 'probe', 'x-deadline-ms': '1200' };
  const isServed = await waitUntil(async () => {
    const res = await probe.send({ method: 'POST', path: '/export/probe', headers, body: Buffer.from('x') });
    return res.status === 200;
  }, START_TIMEOUT_MS);
  await probe.close();
  if (!isServed) throw new Error('requests are not served');
  environment.backends[PLAIN]?.post({ type: 'style', style: new LargeResponse(BODY_BYTES) });
  const downloads = Array.from({ length: CLIENTS }, (_none, index) => {
    const id = `export-${index}`;
    const request =
      `POST /export/${index} HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: ${id}\r\n` +
      `X-Deadline-Ms: ${DEADLINE_MS}\r\nContent-Length: 4\r\n\r\nbody`;
    record(`sent ${id} POST /export/${index} to daemon ${PLAIN}`);
    return { id, download: new SlowDownload(endpoints.callers, request, BYTES_PER_SECOND) };
  });
  await sleep(STOP_AFTER_MS);
  for (const { id, download } of downloads) record(`${id}: ${download.describe()}`);
  if (trouble) {
    record(`SIGTERM to daemon ${PLAIN}`);
    void daemon.end(true).then(() => record(`daemon ${PLAIN} has ended`));
  }
  const ends = downloads.map(async ({ id, download }) => {
    await download.ended;
    record(`${id} ended: ${download.describe()}`);
  });
  await Promise.all(ends);
  const arrived = selectEvents(environment.history.events, 'arrived');
  return downloads
    .filter(
      ({ id, download }) => !download.isComplete && arrived.some((event) => event.id === id && event.ran),
    )
    .map(
      ({ id, download }) =>
        `${id} ran, and its channel ended without a complete answer: ${download.describe()}`,
    );
}

const manifest: unknown = JSON.parse(
  JSON.stringify(createManifest(1, [EXPORT])).replace(/"timeout_ms":\d+/, `"timeout_ms":${DEADLINE_MS}`),
);

runCase({ daemons: 2, manifest, run });
