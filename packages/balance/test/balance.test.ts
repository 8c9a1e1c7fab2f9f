import fc from 'fast-check';
import t from 'tap';
import { createActor, createMachine } from 'xstate';
import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import { RandomSource } from '#core/RandomSource.js';
import type { BalancePolicy } from '#balance/BalancePolicy.js';
import type { Candidate } from '#balance/Candidate.js';
import { decideHedge } from '#balance/DecideHedge.js';
import { decideRetry } from '#balance/DecideRetry.js';
import type { HedgeFacts } from '#balance/HedgeFacts.js';
import { LeastReportedLoad } from '#balance/LeastReportedLoad.js';
import { outlierChart } from '#balance/OutlierChart.js';
import type { OutlierContext } from '#balance/OutlierContext.js';
import { OutlierDetector } from '#balance/OutlierDetector.js';
import type { OutlierEvent } from '#balance/OutlierEvent.js';
import { PowerOfTwoChoices } from '#balance/PowerOfTwoChoices.js';
import type { RequestFacts } from '#balance/RequestFacts.js';
import { RetryBudget } from '#balance/RetryBudget.js';
import type { RetryFacts } from '#balance/RetryFacts.js';
import { RoundRobin } from '#balance/RoundRobin.js';
import { simulateStraggler } from '#balance/SimulateStraggler.js';
import file from '../charts/outlier.json' with { type: 'json' };

const SEED = Number(process.env.SEED ?? 20261204);
t.comment(`seed ${SEED}`);

const FACTS: RequestFacts = {
  region: 'r1',
  failureDomain: 'f1',
  homeRegions: [],
  otherRegions: true,
  excluded: new Set(),
};

function candidate(serverId: string, fields: Partial<Candidate> = {}): Candidate {
  const plain = { region: 'r1', failureDomain: 'f1', slots: 2, share: 1, reportedLoad: 0 };
  return { serverId, ...plain, ...fields };
}

const PLACES = [
  candidate('own'),
  candidate('near', { failureDomain: 'f2' }),
  candidate('far', { region: 'r2', failureDomain: 'f3' }),
];

function choose(
  policy: BalancePolicy,
  candidates: readonly Candidate[],
  facts: Partial<RequestFacts> = {},
): string | undefined {
  return policy.choose(candidates, { ...FACTS, ...facts }, new RandomSource(SEED), 0)?.serverId;
}

/** Reports 20 requests to each server within one window, with the latency that `latencyOf` returns, and evaluates them. */
function feed(
  detector: OutlierDetector,
  ids: readonly string[],
  latencyOf: (id: string) => number,
  nowMs: number,
): void {
  for (let index = 0; index < 20; index += 1) {
    for (const id of ids) detector.observe(id, latencyOf(id), true, nowMs - 1);
  }
  detector.evaluate(nowMs);
}

// Guards against requests that leave their failure domain or region while a nearer server has free slots.
t.test('locality and spill-over', (t) => {
  const policy = new PowerOfTwoChoices();
  t.equal(choose(policy, PLACES), 'own');
  policy.noteStarted('own');
  policy.noteStarted('own');
  t.equal(choose(policy, PLACES.slice(0, 2)), 'near', 'own server saturated');
  policy.noteStarted('near');
  policy.noteStarted('near');
  for (let seed = 1; seed <= 20; seed += 1)
    t.equal(policy.choose(PLACES, FACTS, new RandomSource(seed), 0)?.serverId, 'far', 'own region saturated');
  t.not(choose(policy, PLACES, { otherRegions: false }), 'far');
  policy.noteFinished('own', 1, true, 0);
  t.equal(choose(policy, PLACES), 'own');
  t.equal(choose(policy, [candidate('own', { reportedLoad: 2 }), PLACES[1]!]), 'near', 'full by its report');
  t.end();
});

// Guards against a request that leaves its home regions (invariant I5), or goes to an excluded server.
t.test('forbidden servers', (t) => {
  const policy = new RoundRobin();
  t.equal(choose(policy, PLACES, { homeRegions: ['r2'] }), 'far');
  t.equal(choose(policy, PLACES, { homeRegions: ['r2'], otherRegions: false }), undefined);
  t.equal(choose(policy, PLACES, { excluded: new Set(['own', 'near', 'far']) }), undefined);
  t.equal(choose(policy, [candidate('cold', { share: 0 })]), undefined);
  t.end();
});

// Guards against a forbidden choice, for any policy and any set of candidates.
t.test('only allowed candidates are chosen', (t) => {
  const place = fc.record({
    region: fc.constantFrom('r1', 'r2'),
    failureDomain: fc.constantFrom('f1', 'f2'),
    share: fc.constantFrom(0, 0.5, 1),
    reportedLoad: fc.nat(3),
  });
  const property = fc.property(
    fc.array(place, { maxLength: 6 }),
    fc.boolean(),
    fc.constantFrom(['r1'], ['r2'], []),
    fc.subarray(['0', '1', '2', '3', '4', '5']),
    fc.constantFrom(new RoundRobin(), new LeastReportedLoad(), new PowerOfTwoChoices()),
    (places, otherRegions, homeRegions, out, policy) => {
      const candidates = places.map((fields, index) => candidate(String(index), fields));
      const facts = { ...FACTS, otherRegions, homeRegions, excluded: new Set(out) };
      const allowed = candidates.filter(
        ({ serverId, region, share }) =>
          share > 0 &&
          !out.includes(serverId) &&
          (otherRegions || region === 'r1') &&
          (homeRegions.length === 0 || homeRegions.includes(region as never)),
      );
      const chosen = policy.choose(candidates, facts, new RandomSource(SEED), 0);
      return allowed.length === 0 ? chosen === undefined : chosen !== undefined && allowed.includes(chosen);
    },
  );
  t.doesNotThrow(() => fc.assert(property, { seed: SEED, numRuns: 1_000 }));
  t.end();
});

// Guards against a server that looks fast because its errors are fast.
t.test('fast errors do not attract requests', (t) => {
  const policy = new PowerOfTwoChoices();
  for (let index = 0; index < 5; index += 1) {
    policy.noteStarted('bad');
    policy.noteFinished('bad', 0.1, false, 0);
    policy.noteStarted('good');
    policy.noteFinished('good', 10, true, 0);
  }
  t.equal(choose(policy, [candidate('bad'), candidate('good')]), 'good');
  t.end();
});

// Guards against a straggler that dominates the tail latency while load reports lag.
t.test('straggler is avoided', (t) => {
  const settings = { seed: SEED, servers: 6, slots: 6, daemons: 6, meanServiceMs: 5, utilization: 0.5 };
  const times = { reportLagMs: 2_000, warmUpMs: 3_000, measuredMs: 10_000, ejects: true, hedges: false };
  const run = (slowdown: number): number =>
    simulateStraggler({ ...settings, ...times, slowdown }, () => new PowerOfTwoChoices()).p99Ms;
  const unslowed = run(1);
  const slowed = run(10);
  t.ok(slowed <= 1.5 * unslowed, `p99 ${slowed} ms, unslowed ${unslowed} ms`);
  t.end();
});

// Guards against a slow server that stays in the pool, and against its return without a trial.
t.test('ejection and trial', (t) => {
  const ids = ['a', 'b', 'c', 'd'];
  const detector = new OutlierDetector();
  detector.setPool(ids);
  feed(detector, ids, (id) => (id === 'd' ? 50 : 5), 1_000);
  t.same([...detector.excluded(1_000)], ['d']);
  t.equal(detector.nextTrial(1_500), undefined, 'the ejection time has not passed');
  t.equal(detector.nextTrial(2_000), 'd');
  t.equal(detector.nextTrial(2_000), undefined, 'one trial at a time');
  t.same([...detector.excluded(2_000)], ['d']);
  detector.observe('d', 2, true, 2_001);
  t.equal(detector.stateOf('d'), 'onTrial', 'the request was sent before the trial');
  detector.observe('d', 50, true, 2_050);
  t.equal(detector.nextTrial(3_900), undefined, 'a failed trial doubles the ejection time');
  t.equal(detector.nextTrial(4_100), 'd');
  detector.observe('d', 5, true, 4_105);
  t.same([...detector.excluded(4_105)], []);
  t.end();
});

// Guards against an ejection when all servers fail alike, and against keeping a single server that fails.
t.test('ejection by errors', (t) => {
  const ids = ['a', 'b', 'c'];
  const detector = new OutlierDetector();
  detector.setPool(ids);
  const fail = (failing: readonly string[], nowMs: number): void => {
    for (let index = 0; index < 20; index += 1)
      for (const id of ids) detector.observe(id, 5, !failing.includes(id), nowMs - 1);
    detector.evaluate(nowMs);
  };
  fail(ids, 1_000);
  t.equal(detector.excluded(1_000).size, 0);
  fail(['b'], 2_000);
  t.same([...detector.excluded(2_000)], ['b']);
  t.end();
});

// Guards against a server that stays ejected forever because the end of its trial is never reported.
t.test('lost trial', (t) => {
  const ids = ['a', 'b', 'c'];
  const detector = new OutlierDetector();
  detector.setPool(ids);
  feed(detector, ids, (id) => (id === 'c' ? 50 : 5), 1_000);
  t.equal(detector.nextTrial(2_000), 'c');
  t.equal(detector.excluded(13_000).size, 1);
  t.equal(detector.stateOf('c'), 'ejected');
  t.equal(detector.nextTrial(16_000), 'c');
  t.end();
});

// Guards against an empty pool after a slowdown of the whole region.
t.test('at most a third of the pool is ejected', (t) => {
  const property = fc.property(
    fc.array(fc.constantFrom(5, 6, 50, 500), { minLength: 1, maxLength: 12 }),
    fc.integer({ min: 1, max: 20 }),
    (latencies, factor) => {
      const ids = latencies.map((_, index) => String(index));
      const detector = new OutlierDetector();
      detector.setPool(ids);
      feed(detector, ids, () => 5, 1_000);
      feed(detector, ids, () => 5 * factor, 2_000);
      if (detector.excluded(2_000).size > 0) return false;
      for (const nowMs of [3_000, 4_000, 5_000]) feed(detector, ids, (id) => latencies[Number(id)]!, nowMs);
      return detector.excluded(5_000).size <= Math.floor(ids.length / 3);
    },
  );
  t.doesNotThrow(() => fc.assert(property, { seed: SEED, numRuns: 300 }));
  t.end();
});

// Guards against a chart interpreter that deviates from xstate.
t.test('chart agrees with xstate', (t) => {
  const event: fc.Arbitrary<OutlierEvent> = fc.oneof(
    fc.record({ type: fc.constant('judged' as const), isOutlier: fc.boolean(), hasRoom: fc.boolean() }),
    fc.record({ type: fc.constant('waited' as const) }),
    fc.record({ type: fc.constant('trialEnded' as const), good: fc.boolean() }),
  );
  const property = fc.property(fc.array(event), (events) => {
    let snapshot: ChartSnapshot<OutlierContext> = { value: outlierChart.initial, context: { ejections: 0 } };
    let ejections = 0;
    const machine = createMachine(file as never).provide({
      guards: {
        mayEject: ({ event }: { event: { isOutlier: boolean; hasRoom: boolean } }) =>
          event.isOutlier && event.hasRoom,
        isGood: ({ event }: { event: { good: boolean } }) => event.good,
      },
      actions: { countEjection: () => (ejections += 1), forgetEjections: () => (ejections = 0) },
    } as never);
    const actor = createActor(machine).start();
    return events.every((event) => {
      actor.send(event);
      snapshot = advanceChart(outlierChart, snapshot, event).snapshot;
      return snapshot.value === actor.getSnapshot().value && snapshot.context.ejections === ejections;
    });
  });
  t.doesNotThrow(() => fc.assert(property, { seed: SEED, numRuns: 300 }));
  t.end();
});

const RETRY: RetryFacts = {
  team: 'a',
  class: 'c',
  repeatable: true,
  ran: 'unknown',
  attempts: 1,
  deadlineMs: 1_000,
  expectedMs: 10,
};

// Guards against a second run of a non-idempotent request, and against retries that cannot succeed.
t.test('retry rules', (t) => {
  const decide = (fields: Partial<RetryFacts>, budget = new RetryBudget(0.1, 5)): unknown => {
    const decision = decideRetry({ ...RETRY, ...fields }, budget, new RandomSource(SEED), 0);
    return decision.kind === 'retry' ? 'retry' : decision.reason;
  };
  t.equal(decide({}), 'retry');
  t.equal(decide({ repeatable: false }), 'mayHaveRun');
  t.equal(decide({ repeatable: false, ran: 'ran' }), 'mayHaveRun');
  t.equal(decide({ repeatable: false, ran: 'not run' }), 'retry');
  t.equal(decide({ attempts: 3 }), 'attempts');
  t.equal(decide({ deadlineMs: 9 }), 'deadline');
  t.equal(decide({ retryAfterMs: 995 }), 'deadline');
  t.equal(decide({}, new RetryBudget(0.1, 0)), 'budget');
  const decision = decideRetry(
    { ...RETRY, retryAfterMs: 50 },
    new RetryBudget(0, 1),
    new RandomSource(SEED),
    0,
  );
  t.ok(decision.kind === 'retry' && decision.delayMs >= 50 && decision.delayMs < 55);
  t.end();
});

// Guards against retries that amplify an overload, within any ten seconds.
t.test('retry budget', (t) => {
  const step = fc.record({ retry: fc.boolean(), waitMs: fc.nat(400) });
  const property = fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
    const budget = new RetryBudget(0.2, 1);
    const requests: number[] = [];
    const retries: number[] = [];
    let nowMs = 0;
    for (const { retry, waitMs } of steps) {
      nowMs += waitMs;
      if (!retry) {
        budget.noteRequest('a', 'c', nowMs);
        requests.push(nowMs);
      } else if (budget.spend('a', 'c', nowMs)) {
        retries.push(nowMs);
        const recent = (times: readonly number[], spanMs: number): number =>
          times.filter((time) => time > nowMs - spanMs).length;
        if (recent(retries, 5_000) > Math.max(1, 0.2 * recent(requests, 10_000 + 400))) return false;
      }
    }
    return true;
  });
  t.doesNotThrow(() => fc.assert(property, { seed: SEED, numRuns: 500 }));
  t.end();
});

// Guards against a hedge of a non-idempotent request, and against hedges that double the load.
t.test('hedge rules', (t) => {
  const facts: HedgeFacts = {
    team: 'a',
    class: 'c',
    repeatable: true,
    sentMs: 0,
    deadlineMs: 100,
    p95Ms: 20,
    hedges: 0,
  };
  const decide = (fields: Partial<HedgeFacts>, nowMs: number, budget = new RetryBudget(0, 1)): string =>
    decideHedge({ ...facts, ...fields }, budget, nowMs).kind;
  t.same(decideHedge(facts, new RetryBudget(0, 1), 5), { kind: 'wait', delayMs: 15 });
  t.equal(decide({}, 20), 'hedge');
  t.equal(decide({ hedges: 1 }, 20), 'none');
  t.equal(decide({ repeatable: false }, 20), 'none');
  t.equal(decide({ p95Ms: undefined }, 20), 'none');
  t.equal(decide({}, 100), 'none', 'the deadline has passed');
  t.equal(decide({}, 20, new RetryBudget(0, 0)), 'none', 'no budget');
  t.end();
});
