import t from 'tap';
import { CallOrigin } from '#overload/CallOrigin.js';
import { decideEntry } from '#overload/DecideEntry.js';
import { earlierRetry } from '#overload/EarlierRetry.js';
import type { EntryFacts } from '#overload/EntryFacts.js';
import type { ServerLoad } from '#overload/ServerLoad.js';
import { ServiceOutlook } from '#overload/ServiceOutlook.js';

const servers = [{ serverId: 'a' }, { serverId: 'b' }];
const busy: ServerLoad = { running: 6, queued: 20, slots: 6, waitMs: 600, serviceMs: 100, leastUrgent: 2 };
const idle: ServerLoad = { running: 5, queued: 0, slots: 6, waitMs: 0, serviceMs: 100 };

function createFacts(nowMs: number, change: Partial<EntryFacts> = {}): EntryFacts {
  return { priority: 2, targetLatencyMs: 700, targetMs: nowMs + 700, isExempt: false, ...change };
}

function decide(outlook: ServiceOutlook, nowMs: number, change: Partial<EntryFacts> = {}): string {
  return decideEntry(outlook, createFacts(nowMs, change), servers, nowMs).type;
}

/** Outlook of a service whose two servers reported at time 0 that they are full. */
function createFull(): ServiceOutlook {
  const outlook = new ServiceOutlook();
  for (const { serverId } of servers) outlook.noteReport(serverId, busy, 0);
  return outlook;
}

t.test('service without free capacity refuses at the entry', (t) => {
  // Guards against queueing at one full server after another until the deadline.
  const decision = decideEntry(createFull(), createFacts(10), servers, 10);
  t.match(decision, { type: 'refuse', ageMs: 10 });
  t.ok(decision.type === 'refuse' && decision.retryAfterMs > 0);
  t.end();
});

t.test('free or unknown server is used', (t) => {
  // Guards against a refusal at the entry of a request that a server would have run.
  const free = createFull();
  free.noteReport('b', idle, 5);
  t.match(decideEntry(free, createFacts(10), servers, 10), {
    type: 'send',
    candidates: [{ serverId: 'b' }],
  });
  const unknown = new ServiceOutlook();
  unknown.noteReport('a', busy, 0);
  t.match(decideEntry(unknown, createFacts(10), servers, 10), {
    type: 'send',
    candidates: [{ serverId: 'b' }],
  });
  t.end();
});

t.test('old outlook refuses nothing', (t) => {
  // Guards against refusals by what was true before the overload ended.
  const outlook = createFull();
  t.equal(decide(outlook, 100), 'refuse');
  t.equal(decide(outlook, 1_001), 'send');
  for (const { serverId } of servers) outlook.noteFull(serverId, createFacts(0), 5_000, 2_000);
  t.equal(decide(outlook, 2_100), 'refuse');
  t.equal(decide(outlook, 2_250), 'send', 'a refusal counts for less time than a report');
  t.end();
});

t.test('own requests since the report fill a free slot', (t) => {
  // Guards against a flood of one server whose last report showed a free slot.
  const outlook = new ServiceOutlook();
  outlook.noteReport('a', { ...busy, running: 5, queued: 0 }, 0);
  t.equal(outlook.findFullness('a', createFacts(0), 0), undefined);
  outlook.noteSent('a');
  t.ok(outlook.findFullness('a', createFacts(0), 0));
  t.end();
});

t.test('more urgent request is sent to a full server', (t) => {
  // Guards against a refusal of urgent requests because of a queue that they displace.
  const outlook = createFull();
  t.equal(decide(outlook, 10, { priority: 2 }), 'refuse');
  t.equal(decide(outlook, 10, { priority: 1 }), 'send');
  t.end();
});

t.test('refusal closes a server for requests that are not more urgent', (t) => {
  // Guards against a refusal of requests that may wait for longer, or are more urgent, than the one refused.
  const outlook = new ServiceOutlook();
  for (const { serverId } of servers) outlook.noteFull(serverId, createFacts(0, { priority: 1 }), 200, 0);
  t.equal(decide(outlook, 10, { priority: 1 }), 'refuse');
  t.equal(decide(outlook, 10, { priority: 3, targetLatencyMs: 500 }), 'refuse');
  t.equal(decide(outlook, 10, { priority: 0 }), 'send');
  t.equal(decide(outlook, 10, { priority: 1, targetLatencyMs: 2_000 }), 'send');
  t.equal(decide(outlook, 201, { priority: 1 }), 'send');
  t.end();
});

t.test('report of a free slot supersedes a refusal', (t) => {
  // Guards against refusals while a server that was full has room again.
  const outlook = new ServiceOutlook();
  for (const { serverId } of servers) outlook.noteFull(serverId, createFacts(0), 900, 0);
  outlook.noteReport('a', idle, 50);
  t.equal(decide(outlook, 60), 'send');
  t.end();
});

t.test('exempt requests and probes are sent', (t) => {
  // Guards against wasting the work that made a call, and against an outlook that is never refreshed.
  const outlook = createFull();
  t.equal(decide(outlook, 10, { isExempt: true }), 'send');
  const decisions = Array.from({ length: 80 }, () => decide(outlook, 10));
  const probes = decisions.filter((each) => each === 'send').length;
  t.ok(probes > 0 && probes < 40, `${probes} of 80`);
  t.end();
});

t.test('removed server closes nothing', (t) => {
  // Guards against refusals because of servers that left the service, and against memory that is never freed.
  const outlook = createFull();
  outlook.retain(new Set(['b']));
  t.equal(decide(outlook, 10), 'send');
  t.end();
});

t.test('request without candidates is not refused for capacity', (t) => {
  t.equal(decideEntry(new ServiceOutlook(), createFacts(0), [], 0).type, 'send');
  t.end();
});

t.test('earlier time of two is stated to the caller', (t) => {
  // Guards against sending callers away for longer than until the first server has room.
  t.equal(earlierRetry(100, 300), 100);
  t.equal(earlierRetry(0, 300), 300, '0 states no time');
  t.equal(earlierRetry(100, 0), 100);
  t.end();
});

t.test('call of the own VM is told from outside requests', (t) => {
  // Guards against exempting all requests where the addresses do not tell callers from backend servers.
  const mixed = new CallOrigin();
  const seen = Array.from({ length: 100 }, (_each, index) => mixed.note(index % 2 === 0));
  t.ok(seen.slice(30).some(Boolean));
  t.notOk(seen.filter((_each, index) => index % 2 === 1).some(Boolean), 'outside requests are no calls');
  const uniform = new CallOrigin();
  t.notOk(Array.from({ length: 1_000 }, () => uniform.note(true)).some(Boolean));
  t.end();
});
