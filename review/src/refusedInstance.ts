import { setTimeout as sleep } from 'node:timers/promises';
import type { BackendEvent } from '#fixtures/BackendEvent.js';
import { CallerConnection } from '#fixtures/CallerConnection.js';
import type { DaemonEndpoints } from '#fixtures/DaemonEndpoints.js';
import type { KeyRow } from '#fixtures/KeyRow.js';
import { CaseRecord } from './CaseRecord.js';
import { KeyedFleet } from './KeyedFleet.js';

const COUNT = 6;
const SEED = 9;

const CLIENTS_PER_DAEMON = 2;
const CLIENT_PAUSE_MS = 40;
const TIME_BUDGET_MS = 1_500;
const KEY_COUNT = 65_536;

/** Time in which keys are granted before the first cut. */
const SETTLE_MS = 15_000;

const CUT_MS = 5_500;

/** Time for which the run goes on after the cut. */
const REST_MS = 8_000;

/** Two instances may hold a key for this time if not both of them begin requests for it. */
const ALLOWED_MS = 500;

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

type Held = Extract<BackendEvent, { readonly type: 'held' }>;

/** A grant and the time at which it ends. */
interface Grant {
  readonly held: Held;
  readonly toMs: number;
}

const trouble = process.env.TROUBLE !== '0';
const record = new CaseRecord(process.argv[2] ?? 'record.txt');
let sent = 0;
let served = 0;
let isOver = false;

async function callOften({ callers, index }: DaemonEndpoints): Promise<void> {
  const connection = new CallerConnection(callers);
  while (!isOver) {
    sent += 1;
    const id = `request-${sent}`;
    const key = (sent * 2_731) % KEY_COUNT;
    const headers = {
      host: 'soak.example',
      'x-request-id': id,
      'x-deadline-ms': String(TIME_BUDGET_MS),
      'x-shard-key': String(key),
    };
    record.add(`sent ${id} to daemon ${index}: POST /once/${sent}, key ${key}`);
    const body = Buffer.from('{}');
    const { status } = await connection.send({ method: 'POST', path: `/once/${sent}`, headers, body });
    record.add(`answered ${id}: ${status}`);
    if (status === 200) served += 1;
    await sleep(CLIENT_PAUSE_MS);
  }
  await connection.close();
}

/** A grant ends when its instance gets the next one, or when it runs out. */
function listGrants(events: readonly BackendEvent[]): readonly Grant[] {
  const grants = events.flatMap((each) => (each.type === 'held' ? [each] : []));
  return grants.map((held, index) => {
    const next = grants.slice(index + 1).find(({ run }) => run === held.run);
    return { held, toMs: Math.min(held.untilMs, next?.at ?? Infinity) };
  });
}

function intersect(left: readonly KeyRow[], right: readonly KeyRow[]): readonly KeyRow[] {
  return left.flatMap((one) =>
    right.flatMap(({ from, to, epoch }) => {
      const both = { from: Math.max(one.from, from), to: Math.min(one.to, to), epoch };
      return both.from <= both.to ? [both] : [];
    }),
  );
}

/** Returns how long two instances hold a key at the same time, from `fromMs` on. */
function measureOverlap(
  grants: readonly Grant[],
  runs: readonly string[],
  key: number,
  fromMs: number,
): number {
  let untilMs = fromMs;
  for (;;) {
    const ends = runs.map((run) => {
      const current = grants.filter(
        ({ held, toMs }) =>
          held.run === run &&
          held.at <= untilMs &&
          toMs > untilMs &&
          held.rows.some(({ from, to }) => from <= key && key <= to),
      );
      return Math.max(untilMs, ...current.map(({ toMs }) => toMs));
    });
    const nextMs = Math.min(...ends);
    if (nextMs === untilMs) return untilMs - fromMs;
    untilMs = nextMs;
  }
}

/** Reports each pair of instances that hold the same keys for longer than is allowed, and returns their number. */
function reportOverlaps(events: readonly BackendEvent[], startMs: number): number {
  const grants = listGrants(events);
  const reported = new Set<string>();
  for (const [index, left] of grants.entries()) {
    for (const right of grants.slice(index + 1)) {
      const runs = [left.held.run, right.held.run].sort();
      const pair = runs.join(' and ');
      const fromMs = Math.max(left.held.at, right.held.at);
      const [row] = intersect(left.held.rows, right.held.rows);
      if (runs[0] === runs[1] || reported.has(pair) || row === undefined) continue;
      if (Math.min(left.toMs, right.toMs) <= fromMs) continue;
      const forMs = measureOverlap(grants, runs, row.from, fromMs);
      if (forMs <= ALLOWED_MS) continue;
      reported.add(pair);
      record.report(
        `OWNER at ${Math.round(fromMs - startMs)} ms: ${pair} hold ${row.from} to ${row.to} for ${Math.round(forMs)} ms`,
      );
    }
  }
  return reported.size;
}

async function run(): Promise<number> {
  const fleet = await KeyedFleet.start(COUNT, SEED, [{ prefix: '/once/', keyed: true, idempotent: false }]);
  const startMs = performance.now();
  const clients = fleet.endpoints.flatMap((each) =>
    Array.from({ length: CLIENTS_PER_DAEMON }, () => callOften(each)),
  );
  await sleep(SETTLE_MS);
  const [link] = fleet.links;
  if (trouble) {
    record.report(`instance 0 cut off at ${Math.round(performance.now() - startMs)} ms, for ${CUT_MS} ms`);
    link?.cut();
  }
  await sleep(CUT_MS);
  if (trouble) await link?.open();
  await sleep(REST_MS);
  isOver = true;
  await Promise.all(clients);
  const overlaps = reportOverlaps(fleet.events, startMs);
  for (const event of fleet.events) {
    const atMs = Math.round(event.at - startMs);
    if (event.type === 'arrived')
      record.add(`at ${atMs}: ${event.id} reached ${event.run}, ran: ${event.ran}`);
    if (event.type === 'held') {
      const rows = event.rows.map(({ from, to, epoch }) => `${from}-${to}/${epoch}`).join(' ');
      record.add(`at ${atMs}: ${event.run} holds ${rows} until ${Math.round(event.untilMs - startMs)}`);
    }
  }
  record.report(
    `${served} of ${sent} requests served, ${fleet.exits.length} daemons ended, ${overlaps} pairs hold the same keys`,
  );
  await fleet.stop();
  if (served === 0) return EXIT_NOT_RUN;
  return overlaps > 0 ? EXIT_BROKEN : EXIT_HELD;
}

process.exitCode = await run().catch((err: unknown) => {
  record.report(`not run: ${String(err)}`);
  return EXIT_NOT_RUN;
});
record.save();
process.exit();
