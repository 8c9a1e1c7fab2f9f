import t from 'tap';
import { chooseDisplaced } from '#overload/ChooseDisplaced.js';
import { compareUrgency } from '#overload/CompareUrgency.js';
import { KindShares } from '#overload/KindShares.js';
import { OccupiedSlots } from '#overload/OccupiedSlots.js';
import { PassingLoad } from '#overload/PassingLoad.js';
import type { QueuedWork } from '#overload/QueuedWork.js';
import { ReturnSchedule } from '#overload/ReturnSchedule.js';

interface Named extends QueuedWork {
  readonly name: string;
}

function createWork(
  name: string,
  change: Partial<QueuedWork> = {},
  request: Partial<QueuedWork['request']> = {},
): Named {
  return {
    name,
    kind: name,
    serviceMs: 100,
    isShort: false,
    ...change,
    request: { priority: 2, targetMs: 700, dueMs: 1_200, ...request },
  };
}

const never = (): boolean => false;

function order(works: readonly Named[], isOwed: (kind: string) => boolean, nowMs: number): string {
  return works
    .toSorted((left, right) => compareUrgency(left, right, isOwed, nowMs))
    .map(({ name }) => name)
    .join(' ');
}

/** Names of the displaced requests of a server with one slot. */
function displace(
  queue: readonly Named[],
  arrival: Named,
  maxQueued = 100,
  isOwed: (kind: string) => boolean = never,
): string {
  const facts = { maxQueued, nowMs: 0, isOwed, waitMs: (_each: Named, aheadMs: number) => aheadMs };
  return chooseDisplaced(queue, arrival, facts)
    .map(({ name }) => name)
    .join(' ');
}

t.test('order of the queue', (t) => {
  // Guards against lost calls, kinds that never get a slot, and slots for responses that are late anyway.
  const works = [
    createWork('late', {}, { targetMs: 50, dueMs: 400 }),
    createWork('next', {}, { targetMs: 600 }),
    createWork('then', {}, { targetMs: 650 }),
    createWork('urgent', {}, { priority: 0 }),
    createWork('owed', {}, { priority: 3 }),
    createWork('call', { isShort: true }, { priority: 3 }),
  ];
  t.equal(
    order(works, (kind) => kind === 'owed', 0),
    'call owed urgent next then late',
  );
  t.end();
});

t.test('urgent arrival displaces a request that cannot end in time behind it', (t) => {
  // Guards against holding a request that more urgent ones have overtaken until its deadline.
  const urgent = createWork('urgent', {}, { priority: 0 });
  const safe = createWork('safe', {}, { dueMs: 400 });
  const lost = createWork('lost', {}, { priority: 3, dueMs: 250 });
  t.equal(displace([urgent, safe, lost], urgent), 'lost');
  const equal = createWork('equal');
  t.equal(displace([equal, lost], equal), '', 'it ends in time');
  const same = createWork('same', { serviceMs: 300 }, { priority: 3 });
  t.equal(displace([same, lost], same), '', 'not by one of the same priority');
  t.end();
});

t.test('full queue makes room for a more urgent request', (t) => {
  // Guards against a burst of one kind that fills the queue for all others.
  const urgent = createWork('urgent', {}, { priority: 0 });
  const first = createWork('first');
  const last = createWork('last', {}, { priority: 3 });
  t.equal(displace([urgent, first, last], urgent, 2), 'last');
  t.equal(
    displace([urgent, first, last], urgent, 2, (kind) => kind === 'last'),
    'first',
    'a kind below its minimum share is kept',
  );
  const call = createWork('call', { isShort: true }, { priority: 3 });
  const other = createWork('other', { isShort: true });
  t.equal(displace([other, call], call, 1), '', 'calls do not displace each other');
  t.end();
});

t.test('kind that is hardly served is owed a share', (t) => {
  // Guards against a kind that is served less than a quarter as often as all kinds together.
  const shares = new KindShares();
  for (let index = 0; index < 100; index += 1) {
    shares.note('a', true, index);
    shares.note('b', index % 10 === 0, index);
    shares.note('c', index % 2 === 0, index);
  }
  t.same(
    ['a', 'b', 'c', 'unknown'].map((kind) => shares.isOwed(kind)),
    [false, true, false, false],
  );
  t.end();
});

t.test('few or old requests prove no lack of share', (t) => {
  // Guards against precedence for a kind because of one refusal, or of an overload that is over.
  const shares = new KindShares();
  for (let index = 0; index < 50; index += 1) shares.note('a', true, index);
  for (let index = 0; index < 3; index += 1) shares.note('b', false, 50);
  t.notOk(shares.isOwed('b'));
  for (let index = 0; index < 20; index += 1) shares.note('b', false, 50);
  t.ok(shares.isOwed('b'));
  shares.note('a', true, 60_000);
  t.notOk(shares.isOwed('b'));
  t.end();
});

t.test('equal refusal of all kinds owes nothing', (t) => {
  // Guards against an order that changes although no kind is worse off.
  const shares = new KindShares();
  for (let index = 0; index < 200; index += 1) shares.note(index % 4 < 2 ? 'a' : 'b', index % 2 === 0, index);
  t.notOk(shares.isOwed('a') || shares.isOwed('b'));
  t.end();
});

t.test('returns are spread in order of refusal', (t) => {
  // Guards against callers that all come back at the same time.
  const schedule = new ReturnSchedule();
  t.same(
    [0, 0, 0].map(() => schedule.reserve(100, 20, 150)),
    [70, 90, 110],
  );
  t.equal(schedule.reserve(1_000, 20), 20, 'places of the past are not waited for');
  t.end();
});

t.test('schedule is bounded', (t) => {
  // Guards against times so far ahead that callers give up, or return long after the overload.
  const schedule = new ReturnSchedule();
  const places = Array.from({ length: 1_000 }, () => schedule.reserve(0, 20));
  const known = places.filter((each) => each !== undefined);
  t.ok(known.length < 1_000 && Math.max(...known) <= 2_000);
  t.ok(schedule.reserve(1_000, 20) !== undefined, 'free again as time passes');
  t.end();
});

t.test('wait is stretched by the work that overtakes', (t) => {
  // Guards against queueing a request behind a short queue that more urgent requests keep overtaking.
  const load = new PassingLoad();
  const urgent = createWork('urgent', {}, { priority: 0 });
  const usual = createWork('usual');
  t.equal(load.stretch(usual, 2, never, 0), 1);
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) load.noteStart(urgent, nowMs);
  const half = load.stretch(usual, 2, never, 10_000);
  t.ok(half > 1.8 && half < 2.2, `one of two slots is busy: ${half}`);
  t.equal(load.stretch(urgent, 2, never, 10_000), 1, 'not by its own kind');
  t.equal(load.stretch(createWork('call', { isShort: true }), 2, never, 10_000), 1);
  t.ok(load.stretch(usual, 2, never, 60_000) < 1.01, 'forgotten');
  for (let index = 0; index < 1_000; index += 1) load.noteStart(urgent, 60_000);
  t.ok(load.stretch(usual, 2, never, 60_000) <= 10.01, 'bounded');
  t.end();
});

t.test('slots of the former run are not used', (t) => {
  // Guards against requests beyond the slots of a server that never responds to those that it cannot queue.
  const occupied = new OccupiedSlots(0);
  t.equal(occupied.usable(6, 0), 6, 'nothing is known yet');
  occupied.note(5, 1, 100);
  t.equal(occupied.usable(6, 100), 2);
  occupied.note(20, 1, 150);
  t.equal(occupied.usable(6, 150), 1, 'one is left for the next report');
  t.equal(occupied.usable(6, 1_200), 6, 'an old report does not count');
  occupied.note(2, 2, 1_300);
  t.equal(occupied.usable(6, 1_300), 6);
  occupied.note(6, 1, 15_000);
  t.equal(occupied.usable(6, 15_000), 6, 'no request of the former run is left');
  t.end();
});
