import { setTimeout as sleep } from 'node:timers/promises';
import { CallerConnection } from '#fixtures/CallerConnection.js';
import { createManifest } from '#fixtures/CreateManifest.js';
import type { RequestClass } from '#fixtures/RequestClass.js';
import { waitUntil } from '#fixtures/WaitUntil.js';
import { selectEvents } from '#soak/SelectEvents.js';
import type { CaseContext } from './CaseContext.js';
import { LargeResponse } from './LargeResponse.js';
import { PipeliningClient } from './PipeliningClient.js';
import { runCase } from './RunCase.js';

const PLAIN: RequestClass = { prefix: '/plain/', keyed: false, idempotent: true };

/** Size of each response: the largest that the site file names. */
const BODY_BYTES = 30_000;

const CLIENTS = 4;

/** Requests on a connection without a response. */
const DEPTH = 12;

const BYTES_PER_SECOND = 1_000_000;

const DEADLINE_MS = 1_200;

/** Moments after the clients began, in milliseconds. */
const STOP_AFTER_MS = 1_500;
const END_AFTER_MS = 8_000;

/** The daemon beside a backend server without keys that gets SIGTERM, and the other one. */
const STOPPED = 3;
const OTHER = 2;

const START_TIMEOUT_MS = 20_000;

async function waitServing({ environment }: CaseContext, daemon: number): Promise<void> {
  const callers = environment.endpoints[daemon]?.callers;
  if (callers === undefined) throw new Error('no daemon');
  const probe = new CallerConnection(callers);
  const headers = { host: 'soak.example', 'x-request-id': `probe-${daemon}`, 'x-deadline-ms': '1200' };
  const isServed = await waitUntil(async () => {
    const res = await probe.send({ method: 'GET', path: '/plain/probe', headers, body: Buffer.alloc(0) });
    return res.status === 200;
  }, START_TIMEOUT_MS);
  await probe.close();
  if (!isServed) throw new Error(`daemon ${daemon} does not serve requests`);
}

async function run(context: CaseContext): Promise<readonly string[]> {
  const { environment, trouble, record } = context;
  const daemon = environment.daemons[STOPPED];
  const callers = environment.endpoints[STOPPED]?.callers;
  if (daemon === undefined || callers === undefined) throw new Error('no daemon');
  await waitServing(context, OTHER);
  await waitServing(context, STOPPED);
  for (const backend of environment.backends)
    backend.post({ type: 'style', style: new LargeResponse(BODY_BYTES) });
  let count = 0;
  const cut = new Map<string, string>();
  const sentMs = new Map<string, number>();
  const next = (): { readonly id: string; readonly text: string } => {
    count += 1;
    const id = `request-${count}`;
    sentMs.set(id, performance.now());
    record(`sent ${id} GET /plain/${count} to daemon ${STOPPED}`);
    const headers = `Host: soak.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: ${DEADLINE_MS}`;
    return { id, text: `GET /plain/${count} HTTP/1.1\r\n${headers}\r\n\r\n` };
  };
  const clients = Array.from(
    { length: CLIENTS },
    (_none, index) =>
      new PipeliningClient({
        daemon: callers,
        depth: DEPTH,
        bytesPerSecond: BYTES_PER_SECOND,
        next,
        onAnswered: (id, status) => record(`answered ${id} with ${status}`),
        onEnded: (reason, openIds) => {
          record(`connection ${index} ended: ${reason}; no complete answer: ${openIds.join(' ')}`);
          for (const id of openIds) {
            const afterMs = Math.round(performance.now() - (sentMs.get(id) ?? 0));
            if (afterMs < DEADLINE_MS)
              cut.set(id, `its connection ended (${reason}) ${afterMs} ms after it was sent`);
          }
        },
      }),
  );
  await sleep(STOP_AFTER_MS);
  if (trouble) {
    record(`SIGTERM to daemon ${STOPPED}`);
    void daemon.end(true).then(() => record(`daemon ${STOPPED} has ended`));
    await sleep(END_AFTER_MS - STOP_AFTER_MS);
  } else {
    for (const client of clients) client.finish();
    await sleep(DEADLINE_MS);
  }
  for (const client of clients) client.stop();
  const ran = new Set(
    selectEvents(environment.history.events, 'arrived').flatMap(({ id, ran: hasRun }) =>
      hasRun ? [id] : [],
    ),
  );
  return [...cut]
    .filter(([id]) => ran.has(id))
    .map(([id, how]) => `${id} ran, and ${how} without a complete answer`);
}

runCase({ daemons: 4, manifest: createManifest(1, [PLAIN]), run });
