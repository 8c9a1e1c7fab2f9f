import t from 'tap';
import type { BackendSample } from '#admission/BackendSample.js';
import { DomainRamp } from '#admission/DomainRamp.js';
import { SlowStart } from '#admission/SlowStart.js';

/** Reports `count` responses, one every `everyMs`, with as many requests running as the limit allows. */
function respond(start: SlowStart, count: number, latencyMs: number, fromMs: number, everyMs = 1): void {
  for (let index = 1; index <= count; index += 1) {
    const nowMs = fromMs + index * everyMs;
    const { limit: running } = start;
    start.observe({ kind: 'answered', startedMs: nowMs, latencyMs, running }, nowMs);
  }
}

function createFailure(kind: BackendSample['kind'], startedMs: number): BackendSample {
  return { kind, startedMs, latencyMs: 1, running: 1 };
}

/** Creates a slow start with 8 slots that has reached all of them with responses of 10 ms. */
function createSteady(): SlowStart {
  const start = new SlowStart(8);
  start.announce('one', 8, 0);
  respond(start, 4 + 8 + 16 + 400, 10, 0);
  return start;
}

// Guards against full load on a backend server that has just started (I3).
t.test('share doubles by windows', (t) => {
  const start = new SlowStart(6);
  start.announce('one', 6, 0);
  const limits = [start.limit];
  for (let nowMs = 0; limits.length < 5; nowMs += 1) {
    respond(start, 1, 10, nowMs);
    if (start.limit !== limits.at(-1)) limits.push(start.limit);
    if (nowMs > 1_000) break;
  }
  t.same(limits, [1, 2, 4, 6]);
  t.equal(start.state, 'steady');
  t.end();
});

// Guards against a share that grows although the limit was never reached.
t.test('share grows only at the limit', (t) => {
  const start = new SlowStart(8);
  start.announce('one', 8, 0);
  respond(start, 4, 10, 0);
  t.equal(start.limit, 2);
  for (let nowMs = 10; nowMs < 500; nowMs += 1) {
    start.observe({ kind: 'answered', startedMs: nowMs, latencyMs: 10, running: 1 }, nowMs);
  }
  t.equal(start.limit, 2);
  t.end();
});

// Guards against an unchanged load while the backend server sheds requests.
t.test('shed request halves the share', (t) => {
  const start = createSteady();
  start.observe(createFailure('shed', 900), 1_000);
  t.equal(start.limit, 4);
  t.equal(start.state, 'ramping');
  start.observe(createFailure('shed', 950), 1_010);
  t.equal(start.limit, 4, 'it was sent under the old limit');
  respond(start, 1, 10, 1_020);
  start.observe(createFailure('shed', 1_030), 1_040);
  t.equal(start.limit, 2);
  start.observe(createFailure('failed', 1_050), 1_060);
  t.equal(start.limit, 2, 'an error is no evidence of load');
  t.end();
});

// Guards against full load on a backend server that became cold without announcing it.
t.test('signs of a cold start', (t) => {
  const refused = createSteady();
  for (const nowMs of [1_000, 1_001, 1_002]) refused.observe(createFailure('refused', nowMs - 500), nowMs);
  t.equal(refused.limit, 1, 'consecutive refused connections');
  t.equal(refused.state, 'cold');
  const restarted = createSteady();
  restarted.announce('one', 8, 1_000);
  t.equal(restarted.limit, 8, 'the same incarnation');
  restarted.announce('two', 8, 1_001);
  t.equal(restarted.limit, 1, 'new incarnation');
  const slowed = createSteady();
  respond(slowed, 40, 10, 1_000);
  t.equal(slowed.limit, 8);
  respond(slowed, 200, 60, 2_000);
  t.equal(slowed.limit, 1, 'latency steps');
  t.end();
});

// Guards against a backend server that stays at one slot for ever after a lasting change of its latency.
t.test('lasting latency change is accepted', (t) => {
  const start = createSteady();
  respond(start, 500, 60, 1_000, 10);
  t.equal(start.limit, 1);
  respond(start, 2_000, 60, 6_000, 20);
  t.equal(start.limit, 8);
  t.end();
});

// Guards against overloading a cold server, which handles one request at first and one more every 100 ms.
t.test('cold server is not overloaded', (t) => {
  const start = new SlowStart(12);
  start.announce('one', 12, 0);
  let sheds = 0;
  let done = 0;
  for (let nowMs = 0; nowMs < 3_000; nowMs += 10) {
    const capacity = Math.min(12, 1 + nowMs / 100);
    const running = start.limit;
    for (let index = 0; index < running; index += 1) {
      const kind = index < capacity ? 'answered' : 'shed';
      if (kind === 'shed') sheds += 1;
      else done += 1;
      start.observe({ kind, startedMs: nowMs - 10, latencyMs: 10, running }, nowMs);
    }
  }
  t.comment(`${sheds} sheds, ${done} responses`);
  t.equal(start.limit, 12);
  t.ok(sheds * 20 < done, `${sheds} sheds, ${done} responses`);
  t.end();
});

// Guards against full load on all servers of a failure domain that has just returned.
t.test('failure domain ramps as a whole', (t) => {
  const ramp = new DomainRamp();
  t.equal(ramp.domainShare('f1', 0), 1);
  ramp.begin('f1', 0);
  ramp.begin('f1', 400);
  t.equal(ramp.domainShare('f1', 499), 1 / 16);
  t.equal(ramp.domainShare('f1', 1_000), 1 / 4);
  t.equal(ramp.domainShare('f2', 1_000), 1);
  ramp.noteOverload('f1', 1_100);
  ramp.noteOverload('f1', 1_200);
  t.equal(ramp.domainShare('f1', 1_200), 1 / 8, 'halved only once within the interval');

  t.equal(ramp.domainShare('f1', 1_699), 1 / 8);
  t.equal(ramp.domainShare('f1', 3_200), 1);
  ramp.begin('f1', 4_000);
  ramp.withdraw('f1');
  t.equal(ramp.domainShare('f1', 4_000), 1);
  t.end();
});
