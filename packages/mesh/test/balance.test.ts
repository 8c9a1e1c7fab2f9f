import t from 'tap';
import { Logger } from '#core/Logger.js';
import { ManualClock } from '#core/ManualClock.js';
import { KeyLoads } from '#ranges/KeyLoads.js';
import { createRangeTable } from '#ranges/CreateRangeTable.js';
import type { OwnerLoadReport } from '#mesh/OwnerLoadReport.js';
import { BalanceTask } from '#mesh/BalanceTask.js';
import { chooseHotKeys } from '#mesh/ChooseHotKeys.js';
import { chooseRelease } from '#mesh/ChooseRelease.js';
import { computeSurveyInterval } from '#mesh/ComputeSurveyInterval.js';
import { planShares } from '#mesh/PlanShares.js';
import type { LeaseReport } from '#mesh/LeaseReport.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';
import { ShortRequestClassifier } from '#mesh/ShortRequestClassifier.js';
import { createEntry } from './CreateEntry.js';
import { createView } from './CreateView.js';

function createFacts(serverId: string, change: Partial<OwnerLoadReport> = {}): OwnerLoadReport {
  return { serverId, workMsPerSecond: 0, slots: 4, waitMs: 0, baseSlowdown: 1, accepts: true, ...change };
}

t.test('least loaded owner receives most work', (t) => {
  const own = createFacts('a', { workMsPerSecond: 4_000, waitMs: 200 });
  const others = [
    createFacts('b', { workMsPerSecond: 2_000 }),
    createFacts('c', { workMsPerSecond: 400 }),
    createFacts('d', { accepts: false }),
  ];
  t.equal(planShares(own, others)[0]?.to, 'c');
  t.same(planShares(own, [createFacts('b', { workMsPerSecond: 6_000 })]), [], 'no owner is less loaded');
  t.same(planShares(own, []), []);
  t.end();
});

t.test('excess is divided among all owners with capacity', (t) => {
  // With a single receiver, a hot spot moved from owner to owner for ten seconds.
  const hot = createFacts('a', { workMsPerSecond: 4_000 });
  const cold = ['b', 'c', 'd'].map((id) => createFacts(id, { workMsPerSecond: 400 }));
  const shares = planShares(hot, cold);
  t.same(shares.map(({ to }) => to).toSorted(), ['b', 'c', 'd']);
  const left = 4_000 - shares.reduce((sum, { workMsPerSecond }) => sum + workMsPerSecond, 0);
  t.ok(Math.abs(left - 1_300) < 1, 'the mean load remains');
  t.end();
});

t.test('single hot key moves to a faster server', (t) => {
  // A key with more work than its slow server can do kept its callers waiting for as long as it was hot.
  const loads = new KeyLoads(0);
  loads.add(1_002, 5_000);
  for (let key = 0; key < 1_500; key += 16) loads.add(key, 10);
  const rows = [{ from: 0, to: 2_000, serverId: 'a', term: 1, incarnation: 'a/1', epoch: 1, handover: '' }];
  const request = { to: 'b', workMsPerSecond: 2_000, share: 0, speedup: 2 };
  t.match(chooseHotKeys(rows, loads, [request], 0), { range: { from: 1_000, to: 1_003 }, to: 'b' });
  t.equal(
    chooseHotKeys(rows, loads, [{ ...request, speedup: 1.1 }], 0),
    undefined,
    'not to a server as fast',
  );
  t.end();
});

t.test('other rows move away from a hot key', (t) => {
  // The row with the hot key could not be cut, and no other row was considered.
  const loads = new KeyLoads(0);
  loads.add(1_002, 5_000);
  for (let key = 4_000; key < 5_500; key += 16) loads.add(key, 10);
  const owner = { serverId: 'a', term: 1, incarnation: 'a/1', epoch: 1, handover: '' };
  const rows = [
    { from: 1_000, to: 1_003, ...owner },
    { from: 4_000, to: 5_500, ...owner },
  ];
  const request = { to: 'b', workMsPerSecond: 500, share: 0, speedup: 1 };
  const range = chooseRelease(rows, loads, request, 0);
  t.ok(range !== undefined && range.from >= 4_000);
  t.end();
});

t.test('slow VM releases work at equal utilisation', (t) => {
  // Requests on VMs that are permanently slow missed their target while fast VMs had free slots.
  const slow = createFacts('a', { workMsPerSecond: 1_600, baseSlowdown: 1.6 });
  const fast = ['b', 'c'].map((id) => createFacts(id, { workMsPerSecond: 1_600, baseSlowdown: 0.7 }));
  const shares = planShares(slow, fast);
  t.equal(shares.length, 2);
  const sum = shares.reduce((total, { workMsPerSecond }) => total + workMsPerSecond, 0);
  t.ok(sum > 300 && sum < 1_600, 'only part of the work');
  t.end();
});

t.test('overloaded owners keep their keys', (t) => {
  // With demand far above the capacity of all owners, keys moved back and forth without any gain.
  const own = createFacts('a', { workMsPerSecond: 40_000, waitMs: 200 });
  const others = [10_000, 20_000, 30_000].map((workMsPerSecond, index) =>
    createFacts(`o${index}`, { workMsPerSecond, waitMs: 150 }),
  );
  t.same(planShares(own, others), []);
  t.end();
});

t.test('two hot owners do not claim the same capacity', (t) => {
  const all = [
    createFacts('a', { workMsPerSecond: 3_000 }),
    createFacts('b', { workMsPerSecond: 3_000 }),
    createFacts('c'),
    createFacts('d'),
  ];
  const claimed = all.slice(0, 2).flatMap((own) =>
    planShares(
      own,
      all.filter((other) => other !== own),
    ),
  );
  const toC = claimed.filter(({ to }) => to === 'c').reduce((sum, each) => sum + each.workMsPerSecond, 0);
  t.ok(Math.abs(toC - 1_500) < 1, 'together they raise it to the mean load');
  t.end();
});

t.test('slow owner receives less than a fast one', (t) => {
  // By slots alone, keys went to owners that needed three times as long for them.
  const own = createFacts('a', { workMsPerSecond: 4_000 });
  const slow = createFacts('b', { baseSlowdown: 2 });
  const fast = createFacts('c', { baseSlowdown: 0.7 });
  const shares = new Map(planShares(own, [slow, fast]).map((each) => [each.to, each.workMsPerSecond]));
  t.ok((shares.get('c') ?? 0) > 3 * (shares.get('b') ?? 0), JSON.stringify([...shares]));
  t.end();
});

t.test('owner that is a little above the mean keeps its keys', (t) => {
  // Each move makes its keys unavailable, and the load of a second varies by chance.
  const own = createFacts('a', { workMsPerSecond: 2_200 });
  const others = Array.from({ length: 20 }, (_, index) =>
    createFacts(`o${index}`, { workMsPerSecond: index === 0 ? 1_000 : 1_600 }),
  );
  t.same(planShares(own, others), []);
  t.end();
});

t.test('one hot owner needs few receivers', (t) => {
  // Its excess was divided into 27 parts, each too small for a move, or moved by 27 moves.
  const own = createFacts('a', { workMsPerSecond: 4_000 });
  const others = Array.from({ length: 27 }, (_, index) =>
    createFacts(`o${index}`, { workMsPerSecond: 1_200 + 20 * index }),
  );
  const shares = planShares(own, others);
  const sum = shares.reduce((total, { workMsPerSecond }) => total + workMsPerSecond, 0);
  t.ok(shares.length > 0 && shares.length <= 20, `${shares.length} receivers`);
  t.ok(sum > 1_000 && sum < 3_000, `${sum} ms of work a second`);
  t.ok(
    shares.every(({ workMsPerSecond }) => workMsPerSecond < 400),
    'no receiver gets more than its room',
  );
  t.end();
});

t.test('keys are surveyed before a queue forms', (t) => {
  const load = { workMsPerSecond: 3_400, slots: 4, waitMs: 0 };
  t.ok((computeSurveyInterval(load, 0) ?? Infinity) <= 1_000);
  t.equal(computeSurveyInterval({ ...load, workMsPerSecond: 400 }, 0), undefined);
  t.end();
});

t.test('surveys that find no room become rarer', (t) => {
  // If all owners are overloaded, each of them called all others every 0.6 s, over billed links.
  const load = { workMsPerSecond: 8_000, slots: 4, waitMs: 200 };
  const intervals = [0, 1, 10].map((fruitless) => computeSurveyInterval(load, fruitless) ?? Infinity);
  t.ok(intervals[1]! >= 1.5 * intervals[0]! && intervals[2]! >= intervals[1]!, intervals.join());
  t.ok(intervals[2]! <= 1_500, 'but do not end');
  t.end();
});

t.test('busy keys in the middle move without the cold ones beside them', (t) => {
  // Thousands of cold keys moved together with a few busy ones.
  const loads = new KeyLoads(0);
  for (let key = 1_000; key < 1_040; key += 4) loads.add(key, 100);
  loads.add(2_000, 5_000);
  const rows = [{ from: 0, to: 2_003, serverId: 'a', term: 1, incarnation: 'a/1', epoch: 1, handover: '' }];
  const request = { to: 'b', workMsPerSecond: 500, share: 0, speedup: 1 };
  const range = chooseRelease(rows, loads, request, 0);
  t.ok(range !== undefined && range.from >= 1_000 && range.to < 1_040, JSON.stringify(range));
  t.end();
});

t.test('calls between services are short', (t) => {
  const kinds = new ShortRequestClassifier();
  for (let index = 0; index < 20; index += 1) {
    kinds.note(300);
    kinds.note(60);
  }
  // A rare probe with a long target must not make all other requests short.
  kinds.note(1_000);
  t.equal(kinds.note(60), true);
  t.equal(kinds.note(200), false);
  t.equal(kinds.note(300), false);
  t.end();
});

t.test('short slowdown moves no keys', async (t) => {
  const clock = new ManualClock();
  const released: RangeReleaseRequest[] = [];
  const task = new BalanceTask({
    identity: { serverId: 'a', failureDomain: 'd', region: 'r', service: 's' },
    clock,
    logger: new Logger('test'),
    call: (_address, _method, _params, reply) => reply(createFacts('b')),
    onRelease: (requests) => released.push(...requests),
  });
  const table = createRangeTable('s', [{ serverId: 'a', term: 1, incarnation: 'a/1' }]);
  const own: LeaseReport = {
    incarnation: 'a/1',
    workMsPerSecond: 1_000,
    slots: 4,
    accepts: true,
    mayRelease: true,
  };
  const load = { running: 4, queued: 4, slots: 4, waitMs: 300, serviceMs: 60, slowdown: 1 };
  task.post({ type: 'view', view: createView([createEntry('a'), createEntry('b')], {}, table) });
  clock.advance(5_000);
  task.post({ type: 'load', load: { ...load, waitMs: 0 }, baseSlowdown: 1 });
  await Promise.resolve();
  clock.advance(50);
  task.post({ type: 'load', load, baseSlowdown: 1 });
  task.post({ type: 'facts', facts: own });
  for (let index = 0; index < 5; index += 1) await Promise.resolve();
  t.equal(released.length, 0, 'one long wait is not enough');
  for (let index = 0; index < 10; index += 1) {
    clock.advance(100);
    task.post({ type: 'load', load, baseSlowdown: 1 });
    await Promise.resolve();
  }
  task.post({ type: 'facts', facts: own });
  for (let index = 0; index < 5; index += 1) await Promise.resolve();
  t.match(released, [{ to: 'b' }]);
});
