import { setTimeout as delay } from 'node:timers/promises';
import t from 'tap';
import { decodeBackendRequest } from '#mesh/DecodeBackendRequest.js';
import { decodeBackendResult } from '#mesh/DecodeBackendResult.js';
import { encodeBackendRequest } from '#mesh/EncodeBackendRequest.js';
import { encodeBackendResult } from '#mesh/EncodeBackendResult.js';
import { isFromOwnVm } from '#mesh/IsFromOwnVm.js';
import { createTestRequest } from './CreateTestRequest.js';
import { formatResponse } from './FormatResponse.js';
import { startServerTask } from './StartServerTask.js';

const SLOTS = 4;

/** A request with times that a busy machine cannot miss. */
function createPatient(id: string, priority: number): ReturnType<typeof createTestRequest> {
  const targetMs = performance.now() + 20_000;
  return createTestRequest(id, { priority, targetLatencyMs: 20_000, targetMs, dueMs: targetMs });
}

t.test('urgent request displaces a queued one as not run', async (t) => {
  // Guards against a queue full of less urgent requests that an urgent one is refused for.
  const { run, server } = await startServerTask(t, () => undefined);
  const queueLimit = SLOTS * 12;
  for (let index = 0; index < SLOTS; index += 1) void run(createPatient(`r${index}`, 2));
  while (server.requests.length < SLOTS) await delay(5);
  const queued = Array.from({ length: queueLimit }, (_each, index) => run(createPatient(`q${index}`, 2)));
  t.match(await run(createPatient('same', 2)), { type: 'refused', code: 'full' });
  void run(createPatient('urgent', 0));
  const first = await Promise.race(queued);
  t.match(first, { type: 'refused', code: 'displaced', arrived: false });
  t.ok(first.type === 'refused' && first.retryAfterMs > 0, 'with a time to return');
  t.equal(server.requests.length, SLOTS, 'running work goes on');
});

t.test('slots of requests of the former run are left free', async (t) => {
  // Guards against requests beyond the slots of a server that never responds to those that it cannot queue.
  let occupied = SLOTS - 1;
  let running = 0;
  let beyond = 0;
  const { run } = await startServerTask(t, ({ id, socket }) => {
    if (occupied + running >= SLOTS && id !== 'first') {
      beyond += 1;
      return;
    }
    running += 1;
    const load = `X-Load: ${occupied + running},0,${SLOTS}\r\n`;
    setTimeout(() => {
      running -= 1;
      socket.write(formatResponse(id, '200 OK', 'ok', load));
    }, 15);
  });
  await run(createPatient('first', 0));
  const ids = Array.from({ length: 8 }, (_each, index) => String(index));
  const results = await Promise.all(ids.map((id) => run(createPatient(id, 0))));
  t.ok(results.every(({ type }) => type === 'answered'));
  t.equal(beyond, 0);
  occupied = 0;
});

t.test('refusals for lack of capacity state different times', async (t) => {
  // Guards against refused callers that all return at the same time.
  const { run, server } = await startServerTask(t, () => undefined);
  for (let index = 0; index < SLOTS; index += 1) void run(createPatient(`r${index}`, 2));
  while (server.requests.length < SLOTS) await delay(5);
  for (let index = 0; index < SLOTS * 12; index += 1) void run(createPatient(`q${index}`, 2));
  const results = await Promise.all(['1', '2', '3', '4'].map((id) => run(createPatient(id, 2))));
  const times = results.flatMap((each) => (each.type === 'refused' ? [each.retryAfterMs] : []));
  t.equal(new Set(times).size, 4, times.join(' '));
});

t.test('mark of a call and urgency of the queue pass between daemons', (t) => {
  // Guards against a server's daemon that does not know calls, and an outlook that refuses urgent requests.
  const now = { monotonicMs: 0, wallMs: 0 };
  for (const isCall of [true, false]) {
    const head = encodeBackendRequest(createTestRequest('1', { isCall }), now);
    const decoded = decodeBackendRequest(head, Buffer.alloc(0), 0, () => 0);
    t.equal(decoded.map((each) => each.isCall).extract(), isCall);
  }
  const load = { running: 1, queued: 2, slots: 3, waitMs: 4, serviceMs: 5, slowdown: 1, leastUrgent: 0 };
  const result = { type: 'lost', code: 'timeout', load } as const;
  t.same(decodeBackendResult(encodeBackendResult(result), Buffer.alloc(0)).extract(), result);
  t.end();
});

t.test('request of an older daemon is no call', (t) => {
  // Guards against a daemon that refuses the requests of the version before during an upgrade.
  const { kind, detail } = encodeBackendRequest(createTestRequest('1'), { monotonicMs: 0, wallMs: 0 });
  const older = JSON.stringify((JSON.parse(kind) as readonly unknown[]).slice(0, -1));
  const decoded = decodeBackendRequest({ kind: older, detail }, Buffer.alloc(0), 0, () => 0);
  t.equal(decoded.map((each) => each.isCall).extract(), false);
  t.end();
});

t.test('origin of a connection', (t) => {
  // Guards against outside callers that are taken for the backend server of the VM.
  const own = '10.0.0.7';
  t.ok(isFromOwnVm({ remoteAddress: own, localAddress: own }));
  t.ok(isFromOwnVm({ remoteAddress: `::ffff:${own}`, localAddress: own }));
  t.notOk(isFromOwnVm({ remoteAddress: '10.0.0.8', localAddress: own }));
  t.notOk(isFromOwnVm({ remoteAddress: '127.0.0.1', localAddress: '127.0.0.1' }), 'tells nothing');
  t.end();
});
