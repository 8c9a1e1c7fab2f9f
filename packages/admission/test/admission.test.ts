import fc from 'fast-check';
import t from 'tap';
import { createActor, createMachine } from 'xstate';
import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartEvent } from '#chart/ChartEvent.js';
import type { ChartRules } from '#chart/ChartRules.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CrashMark } from '#admission/CrashMark.js';
import { entryKey } from '#admission/EntryKey.js';
import { EntryLimiter } from '#admission/EntryLimiter.js';
import { interRegionLimits } from '#admission/InterRegionLimits.js';
import { Quarantine } from '#admission/Quarantine.js';
import drain from '../charts/drain.json' with { type: 'json' };
import quarantine from '../charts/quarantine.json' with { type: 'json' };
import slowStart from '../charts/slowStart.json' with { type: 'json' };

const SEED = Number(process.env.SEED ?? 20261204);
t.comment(`seed ${SEED}`);

const LIMITS = { ratePerSecond: 100, burst: 5, concurrency: 3 };

// Guards against an entry that exceeds its rate or burst.
t.test('rate limit', (t) => {
  const limiter = new EntryLimiter();
  const admit = (nowMs: number): string => {
    const result = limiter.admit('e', LIMITS, nowMs);
    if (result.kind === 'admit') limiter.release('e');
    return result.kind === 'admit' ? 'admit' : `${result.error.code} ${result.error.retryAfterMs}`;
  };
  t.same([0, 0, 0, 0, 0, 0].map(admit), [...Array<string>(5).fill('admit'), 'rateLimit 10']);
  t.equal(admit(9), 'rateLimit 1');
  t.equal(admit(10), 'admit');
  t.equal(admit(5), 'rateLimit 10', 'a time before the last one accrues no tokens');
  t.end();
});

// Guards against an entry that exceeds its concurrency limit, or for which ended requests still count.
t.test('concurrency limit', (t) => {
  const limiter = new EntryLimiter();
  for (let index = 0; index < 3; index += 1) t.equal(limiter.admit('e', LIMITS, 0).kind, 'admit');
  t.match(limiter.admit('e', LIMITS, 0), {
    kind: 'refuse',
    error: { status: 429, ran: 'not run', code: 'concurrencyLimit' },
  });
  t.equal(limiter.admit('f', LIMITS, 0).kind, 'admit', 'entries have separate limits');
  limiter.release('e');
  limiter.release('unknown');
  t.equal(limiter.admit('e', LIMITS, 0).kind, 'admit');
  limiter.retain(new Set());
  t.equal(limiter.inFlight('e'), 3, 'kept while requests are in flight');
  t.end();
});

// Guards against a changed limit that applies only after a restart.
t.test('changed limits', (t) => {
  const limiter = new EntryLimiter();
  limiter.admit('e', LIMITS, 0);
  const narrow = { ratePerSecond: 1, burst: 1, concurrency: 9 };
  t.equal(limiter.admit('e', narrow, 0).kind, 'admit');
  t.match(limiter.admit('e', narrow, 0), { error: { code: 'rateLimit', retryAfterMs: 1_000 } });
  t.not(entryKey('a', 'b', 'c'), entryKey('a', 'bc', ''));
  t.end();
});

// Guards against an entry that sends more bytes between regions than its limit, or any if its limit is 0.
t.test('bytes between regions', (t) => {
  const limiter = new EntryLimiter();
  const entry = {
    ...LIMITS,
    share: 1,
    priority: 5,
    defaultDeadlineMs: 100,
    maxDeadlineMs: 100,
    maxBodyBytes: 1_000,
    interRegionBytesPerSecond: 1_000,
  };
  const limits = interRegionLimits(entry);
  t.equal(limiter.admit('e', limits, 0, 900).kind, 'admit');
  t.match(limiter.admit('e', limits, 0, 200), { error: { code: 'rateLimit', retryAfterMs: 100 } });
  t.equal(limiter.admit('e', limits, 100, 200).kind, 'admit');
  const none = interRegionLimits({ ...entry, interRegionBytesPerSecond: 0 });
  t.equal(limiter.admit('none', none, 1_000, 1).kind, 'refuse');
  t.end();
});

// Guards against a request that crashes one backend server after the other.
t.test('hold at two marks', (t) => {
  const table = new Quarantine(10, 1_000);
  t.equal(table.check('bad', 0).kind, 'run');
  table.mark(['bad', 'bad', 'beside'], 's1/a', 0);
  t.equal(table.check('bad', 0).kind, 'alone', 'one crash is one mark');
  table.mark(['bad'], 's2/b', 10);
  t.match(table.check('bad', 10), { kind: 'hold', error: { ran: 'not run', code: 'quarantined' } });
  t.same(
    table.list(10).map(({ fingerprint, state }) => [fingerprint, state]),
    [
      ['beside', 'marked'],
      ['bad', 'held'],
    ],
  );
  t.end();
});

// Guards against marks that stay on a request that merely ran beside the one that crashed the server.
t.test('successful run clears the marks', (t) => {
  const table = new Quarantine(10, 1_000);
  const marks = table.mark(['beside'], 's1/a', 0);
  const cleared = table.clear('beside', 5);
  t.match(cleared, [{ fingerprint: 'beside', death: 's1/a', cleared: true }]);
  t.equal(table.check('beside', 5).kind, 'run');
  table.merge(marks, 6);
  t.equal(table.check('beside', 6).kind, 'run', 'a late copy of a cleared mark has no effect');
  table.mark(['beside'], 's1/b', 7);
  t.equal(table.check('beside', 7).kind, 'alone', 'a new crash counts');
  t.end();
});

// Guards against a hold that operators cannot lift, or that never expires.
t.test('lift and expiry', (t) => {
  const table = new Quarantine(10, 1_000);
  for (const death of ['s1/a', 's2/b', 's3/c']) table.mark(['bad'], death, 0);
  table.clear('bad', 10);
  t.equal(table.check('bad', 10).kind, 'run');
  table.mark(['bad'], 's4/d', 20);
  table.mark(['bad'], 's5/e', 20);
  t.equal(table.check('bad', 1_019).kind, 'hold');
  t.equal(table.check('bad', 1_020).kind, 'run');
  table.expire(1_020);
  t.equal(table.size, 0);
  t.end();
});

// Guards against unbounded memory after many crashes, and against a flood of marks that evicts a held request.
t.test('quarantine is bounded', (t) => {
  const table = new Quarantine(5, 1_000);
  table.mark(['bad'], 's1/a', 0);
  table.mark(['bad'], 's2/b', 0);
  for (let index = 0; index < 50; index += 1) table.mark([`f${index}`], 's3/c', index);
  t.equal(table.size, 5);
  t.equal(table.check('bad', 50).kind, 'hold');
  for (let index = 0; index < 50; index += 1) {
    table.mark(['often'], `s1/${index}`, 60);
    table.clear('often', 60);
  }
  table.mark(['often'], 's9/z', 60);
  t.equal(table.check('often', 60).kind, 'alone', 'old cleared marks make room for new ones');
  t.end();
});

// Guards against daemons that decide differently on a request because marks reached them in another order, or twice.
t.test('merging is idempotent', (t) => {
  const mark: fc.Arbitrary<CrashMark> = fc.record({
    fingerprint: fc.constantFrom('x', 'y'),
    death: fc.constantFrom('1', '2', '3'),
    cleared: fc.boolean(),
  });
  const property = fc.property(fc.array(mark, { maxLength: 12 }), fc.array(fc.nat(11)), (marks, repeats) => {
    const repeated = repeats.map((index) => marks[index]).filter((value) => value !== undefined);
    const tables = [marks, [...marks, ...repeated].reverse()].map((list) => {
      const table = new Quarantine(10, 1_000);
      table.merge(list, 0);
      return ['x', 'y'].map((fingerprint) => table.check(fingerprint, 0).kind).join();
    });
    return tables[0] === tables[1];
  });
  t.doesNotThrow(() => fc.assert(property, { seed: SEED, numRuns: 1_000 }));
  t.end();
});

// Guards against a chart file that the interpreter understands differently from xstate.
t.test('charts agree with xstate', (t) => {
  const guards = ['reachesFullShare', 'holds', 'isMarked'];
  const actions = ['useOneSlot', 'doubleShare', 'halveShare'];
  const types = ['windowGood', 'overload', 'cold', 'drain', 'emptied', 'resume', 'marked', 'cleared'];
  const event = fc.record({
    type: fc.constantFrom(...types),
    truths: fc.tuple(fc.boolean(), fc.boolean(), fc.boolean()),
  });
  interface Event extends ChartEvent {
    readonly truths: readonly boolean[];
  }
  const rules: ChartRules<undefined, Event, never> = {
    guards: Object.fromEntries(guards.map((name, index) => [name, (_, { truths }) => truths[index]!])),
    actions: Object.fromEntries(actions.map((name) => [name, () => ({ context: undefined, commands: [] })])),
  };
  const property = fc.property(
    fc.constantFrom(drain, quarantine, slowStart),
    fc.array(event),
    (file, events) => {
      const chart = compileChart(file.id, file as never, rules);
      const machine = createMachine(file as never).provide({
        guards: Object.fromEntries(
          guards.map((name, index) => [name, ({ event }: { event: Event }) => event.truths[index]!]),
        ),
        actions: Object.fromEntries(actions.map((name) => [name, () => undefined])),
      } as never);
      const actor = createActor(machine).start();
      let snapshot = { value: chart.initial, context: undefined };
      return events.every((event) => {
        actor.send(event);
        snapshot = advanceChart(chart, snapshot, event).snapshot;
        return snapshot.value === actor.getSnapshot().value;
      });
    },
  );
  t.doesNotThrow(() => fc.assert(property, { seed: SEED, numRuns: 300 }));
  t.end();
});
