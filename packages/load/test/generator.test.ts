import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import { RandomSource } from '#core/RandomSource.js';
import type { CallResponse } from '#load/CallResponse.js';
import type { Call } from '#load/Call.js';
import type { CallOutcome } from '#load/CallOutcome.js';
import { checkHistory } from '#load/CheckHistory.js';
import { decideNextStep } from '#load/DecideNextStep.js';
import type { HistoryEvent } from '#load/HistoryEvent.js';
import { HistoryRecorder } from '#load/HistoryRecorder.js';
import { KeyPicker } from '#load/KeyPicker.js';
import type { LoadClass } from '#load/LoadClass.js';
import type { LoadContent } from '#load/LoadContent.js';
import { LoadGenerator } from '#load/LoadGenerator.js';
import type { LoadTestReport } from '#load/LoadTestReport.js';
import type { LoadSettings } from '#load/LoadSettings.js';

const LOAD_CLASS: LoadClass = {
  team: 'agents',
  class: 'levy',
  service: 'permits',
  weight: 1,
  keyed: true,
  repeatable: false,
  deadlineMs: 400,
  sendsReceipts: true,
  maxRetries: 2,
};
/** The same class with a deadline that usual pauses of the machine do not exceed. */
const PATIENT_CLASS: LoadClass = { ...LOAD_CLASS, deadlineMs: 5_000 };

const CONTENT: LoadContent = {
  createRequest: (call) => ({
    method: 'POST',
    path: `orders/${call.requestId}`,
    body: Buffer.from(`pay ${call.key}`),
  }),
  checkContent: (call, body) => body.equals(Buffer.from(`${call.requestId} pay ${call.key}`)),
};

interface ReceivedRequest {
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

type Respond = (request: ReceivedRequest, res: ServerResponse, all: readonly ReceivedRequest[]) => void;

interface TestServer {
  readonly server: Server;
  readonly url: string;
  readonly requests: readonly ReceivedRequest[];
}

async function startServer(respond: Respond): Promise<TestServer> {
  const requests: ReceivedRequest[] = [];
  const server = createServer((req, res) => {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => {
      const received = { path: req.url ?? '', headers: req.headers, body: Buffer.concat(chunks).toString() };
      requests.push(received);
      respond(received, res, requests);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return { server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, requests };
}

/** Responds as the router does: 428 without an epoch, otherwise the echoed request, and 204 to a receipt. */
const route: Respond = ({ path, headers, body }, res) => {
  if (path.startsWith('/v1/-/receipts/')) return void res.writeHead(204).end();
  if (headers['amr-epoch'] === undefined)
    return void res.writeHead(428, { 'amr-epoch': '7-1' }).end(JSON.stringify({ ran: 'not run' }));
  const id = path.split('/').at(-1) ?? '';
  res.writeHead(200, { 'amr-epoch': '7-1', 'amr-delivery': `/v1/-/receipts/${id}` }).end(`${id} ${body}`);
};

const createSettings = (url: string, changes: Partial<LoadSettings> = {}): LoadSettings => ({
  targets: [url],
  ratePerSecond: 200,
  maxRequests: 60,
  maxDurationMs: 2_000,
  warmUpMs: 0,
  maxInFlight: 100,
  connections: 8,
  seed: 5,
  keys: { keyCount: 50, exponent: 1, hotKeys: 5, shiftEveryMs: 100 },
  mix: [PATIENT_CLASS],
  followOwner: false,
  ...changes,
});

interface Loaded {
  readonly report: LoadTestReport;
  readonly requests: readonly ReceivedRequest[];
  readonly events: readonly HistoryEvent[];
  readonly counts: Readonly<Record<CallOutcome, number>> | undefined;
}

async function runLoad(respond: Respond, changes: Partial<LoadSettings> = {}): Promise<Loaded> {
  const testServer = await startServer(respond);
  const history = new HistoryRecorder();
  const report = await new LoadGenerator(createSettings(testServer.url, changes), CONTENT, history).run();
  await new Promise((resolve) => testServer.server.close(resolve));
  return {
    report,
    requests: testServer.requests,
    events: history.list(),
    counts: report.outcomes.get('agents/levy'),
  };
}

t.test('an epoch is learned from a refusal and each response is confirmed', async (t) => {
  // A slow rate, so that few requests start before the first response even if the machine pauses.
  const { report, requests, counts, events } = await runLoad(route, {
    ratePerSecond: 20,
    maxDurationMs: 30_000,
  });
  t.match(counts, { ok: 60, refused: 0, unknown: 0 });
  t.same(report.receipts, { accepted: 60, refused: 0 });
  const receipts = requests.filter((received) => received.path.startsWith('/v1/-/receipts/'));
  t.ok(receipts.every((received) => (JSON.parse(received.body) as { bytes: number }).bytes > 10));
  const refused = requests.filter(
    (received) => received.path.includes('orders') && received.headers['amr-epoch'] === undefined,
  );
  t.ok(refused.length <= 50, 'the epoch of a key is kept for later requests');
  t.equal(report.latencies.get('agents/levy')?.totalCount, 60);
  t.same(checkHistory(events), []);
});

t.test('latency counts from the intended send time during a stall', async (t) => {
  let stallUntilMs = 0;
  const stall: Respond = ({ path, body }, res) => {
    stallUntilMs ||= Date.now() + 200;
    setTimeout(() => res.end(`${path.split('/').at(-1)} ${body}`), Math.max(0, stallUntilMs - Date.now()));
  };
  const mix = [{ ...PATIENT_CLASS, repeatable: true, sendsReceipts: false }];
  const { report, counts } = await runLoad(stall, { mix, connections: 1, maxRequests: 40 });
  t.match(counts, { ok: 40 });
  const median = report.latencies.get('agents/levy')!.getValueAtPercentile(50);
  // Counted from the actual send, only the request in service would show the stall. The others come due evenly
  // during the stall and wait 100 ms at the median.
  t.ok(median > 50_000, `median ${median} us`);
});

t.test('latencies of the warm-up are left out', async (t) => {
  const { report, counts } = await runLoad(route, { warmUpMs: 102 });
  t.match(counts, { ok: 60 });
  t.equal(report.latencies.get('agents/levy')?.totalCount, 40);
});

t.test('retries after a lost connection keep the id and the epoch', async (t) => {
  const { requests, counts } = await runLoad((received, res, all) => {
    const tries = all.filter(
      (other) => other.path === received.path && other.headers['amr-epoch'] !== undefined,
    );
    if (tries.length === 1) res.destroy();
    else route(received, res, all);
  });
  t.match(counts, { ok: 60 });
  const pairs = new Set(
    requests
      .filter((received) => received.headers['amr-epoch'] !== undefined)
      .map(
        (received) =>
          `${received.path} ${String(received.headers['idempotency-key'])} ${String(received.headers['amr-epoch'])}`,
      ),
  );
  t.equal(pairs.size, 60);
});

t.test('wrong content is counted and found in the history', async (t) => {
  const { counts, events } = await runLoad((received, res, all) =>
    received.headers['amr-epoch'] === undefined ? route(received, res, all) : res.end('other'),
  );
  t.match(counts, { ok: 0, corrupt: 60 });
  t.equal(checkHistory(events).filter(({ rule }) => rule === 'wrongContent').length, 60);
});

t.test('a silent server does not prolong the run or exceed the requests in flight', async (t) => {
  const { report, counts } = await runLoad(() => undefined, {
    maxInFlight: 20,
    mix: [{ ...LOAD_CLASS, deadlineMs: 100 }],
  });
  t.equal(report.sent + report.skipped, 60);
  t.ok(report.skipped >= 40);
  t.equal((counts?.unknown ?? 0) + report.unfinished, 20);
  t.ok(report.durationMs < 3_500);
});

t.test('requests go to the owner that a response named', async (t) => {
  const owner = await startServer(route);
  const entry = await startServer((request, res) => {
    res.setHeader('amr-owner', owner.url.slice(7));
    route(request, res, []);
  });
  const settings = createSettings(entry.url, { followOwner: true });
  await new LoadGenerator(settings, CONTENT).run();
  for (const { server } of [owner, entry]) server.close();
  t.ok(owner.requests.length > 0);
});

const CALL: Call = {
  requestId: 'r',
  loadClass: LOAD_CLASS,
  key: 'k',
  intendedMs: 0,
  attempt: 1,
  epoch: '3-1',
  target: 'http://a',
};
const refuse = (changes: Partial<CallResponse>): CallResponse => ({
  status: 503,
  ran: 'not run',
  epoch: '',
  owner: '',
  delivery: '',
  retryAfterMs: 50,
  alternatives: [],
  body: Buffer.alloc(0),
  ...changes,
});

t.test('the epoch of an id changes only after a refusal as not run', (t) => {
  const lost = decideNextStep(CALL, refuse({ status: 0, ran: 'unknown', epoch: '4-1' }), true, 10);
  t.match(lost, { kind: 'repeat', call: { epoch: '3-1', attempt: 2 } });
  const refused = decideNextStep(CALL, refuse({ epoch: '4-1', alternatives: ['b:1'] }), true, 10);
  t.match(refused, { kind: 'repeat', call: { epoch: '4-1', target: 'http://b:1' }, delayMs: 50 });
  t.match(decideNextStep(CALL, refuse({ status: 409, ran: 'unknown', epoch: '4-1' }), true, 10), {
    kind: 'finish',
    outcome: 'unknown',
  });
  t.end();
});

t.test('a call without time or retries left ends', (t) => {
  t.match(decideNextStep(CALL, refuse({}), true, 380), { kind: 'finish', outcome: 'refused' });
  t.match(decideNextStep({ ...CALL, attempt: 3 }, refuse({}), true, 10), {
    kind: 'finish',
    outcome: 'refused',
  });
  t.match(decideNextStep(CALL, refuse({ status: 200, ran: 'ran' }), true, 401), { outcome: 'late' });
  t.end();
});

t.test('keys follow a Zipf distribution and the hot keys change', (t) => {
  const popularity = { keyCount: 1_000, exponent: 1, hotKeys: 20, shiftEveryMs: 1_000 };
  const count = (seed: number, atMs: number): ReadonlyMap<string, number> => {
    const picker = new KeyPicker(popularity, new RandomSource(seed));
    const counts = new Map<string, number>();
    for (let n = 0; n < 20_000; n++) {
      const key = picker.pick(atMs);
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return counts;
  };
  const first = count(1, 0);
  // Harmonic number of 1,000 is 7.49, so the first rank has 13.4 % of the requests.
  t.ok(Math.abs((first.get('key-0') ?? 0) - 2_672) < 250);
  t.same(count(1, 0), first);
  t.ok((count(1, 1_000).get('key-0') ?? 0) < 400);
  t.end();
});
