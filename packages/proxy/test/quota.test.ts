import t from 'tap';
import { entryKey } from '#admission/EntryKey.js';
import type { QuotaGrant } from '#admission/QuotaGrant.js';
import { ManualClock } from '#core/ManualClock.js';
import { QuotaTask } from '#proxy/QuotaTask.js';
import { createTestCatalogue } from './CreateTestCatalogue.js';
import { createMember } from './CreateMember.js';
import { createTestCell } from './CreateTestCell.js';
import { listTestShards } from './ListTestShards.js';
import { QuotaFleet } from './QuotaFleet.js';

const { limits: DEFAULTS } = createTestCatalogue().catalogue.entries[0]!;
const LIMITS = { ...DEFAULTS, ratePerSecond: 200, burst: 40, concurrency: 30, maxDeadlineMs: 1_000 };
/** Time after which a new holder divides the whole limits: a grant, the longest deadline and the next quota request. */
const WARM_UP_MS = 10_000;

/** Returns the number of admissions beyond the rate and the burst; 0 if the limit was kept. */
function findExcess(admittedAtMs: readonly number[]): number {
  let tokens = LIMITS.burst;
  let lastMs = 0;
  let excess = 0;
  for (const atMs of admittedAtMs) {
    tokens = Math.min(LIMITS.burst, tokens + ((atMs - lastMs) * LIMITS.ratePerSecond) / 1_000) - 1;
    lastMs = atMs;
    // The clock advances in steps of 10 ms, so the tokens of one step arrive at once.
    excess = Math.max(excess, -tokens - (10 * LIMITS.ratePerSecond) / 1_000);
  }
  return excess;
}

t.test('rate is fleet-wide', async (t) => {
  // If each daemon applied the limits by itself, the fleet would admit a multiple of them.
  const fleet = new QuotaFleet(LIMITS, 10);
  t.teardown(() => fleet.stop());
  await fleet.run(WARM_UP_MS + 5_000, 4);
  t.ok(findExcess(fleet.admittedAtMs) <= 0, `excess ${findExcess(fleet.admittedAtMs)}`);
  const admitted = fleet.countAdmitted(WARM_UP_MS, fleet.nowMs);
  t.ok(admitted > 0.7 * 5 * LIMITS.ratePerSecond, `admitted ${admitted} in 5 s`);
});

t.test('concurrency is fleet-wide', async (t) => {
  // If each daemon applied the limit by itself, the fleet would overload the backend servers.
  const fleet = new QuotaFleet(LIMITS, 500);
  t.teardown(() => fleet.stop());
  await fleet.run(WARM_UP_MS + 5_000, 2);
  t.ok(fleet.peakInFlight <= LIMITS.concurrency, `peak ${fleet.peakInFlight}`);
  t.ok(fleet.peakInFlight > 0.7 * LIMITS.concurrency, `peak ${fleet.peakInFlight}`);
});

t.test('holder moves', async (t) => {
  // Without the reserved part and grants that outlast the loss, each change of the holder would interrupt admission.
  for (const phaseMs of [0, 1_000, 2_000, 2_900]) {
    const fleet = new QuotaFleet(LIMITS, 10);
    t.teardown(() => fleet.stop());
    const lostMs = WARM_UP_MS + phaseMs;
    await fleet.run(lostMs, 4);
    fleet.own('', fleet.route('d1', 1));
    await fleet.run(3_000, 4);
    fleet.own('d2', fleet.route('d2', 2));
    await fleet.run(WARM_UP_MS, 4);
    t.ok(findExcess(fleet.admittedAtMs) <= 0, `excess ${findExcess(fleet.admittedAtMs)}`);
    const perSecond = Array.from({ length: 13 }, (_, index) =>
      fleet.countAdmitted(lostMs + index * 1_000, lostMs + (index + 1) * 1_000),
    );
    t.comment(`lost at ${lostMs} ms; admitted in each second after it: ${perSecond.join(' ')}`);
    t.ok(perSecond.every((count) => count >= 0.08 * LIMITS.ratePerSecond));
    t.ok((perSecond.at(-1) ?? 0) > 0.7 * LIMITS.ratePerSecond);
  }
});

t.test('delayed quota request is dropped', async (t) => {
  // A request sent before this daemon became the holder may report a grant that has ended since and would be renewed.
  const clock = new ManualClock();
  const quota = new QuotaTask(clock);
  const cell = createTestCell([createMember('d1')], 'd1', 2);
  quota.post({ type: 'catalogue', catalogue: createTestCatalogue() });
  quota.post({ type: 'cell', cell });
  quota.post({ type: 'ownership', epoch: 1, leaseEndMs: 1_000, shards: listTestShards(cell) });
  const entry = entryKey('alpha', 'badges', 'look');
  const held = { ratePerSecond: 10, burst: 2, concurrency: 2 };
  const use = { held, applied: 3, ratePerSecond: 10, concurrency: 2, inFlight: 0, sentMs: 0 };
  const askAt = (nowMs: number): Promise<QuotaGrant | undefined> => {
    clock.advance(nowMs - clock.monotonicMs());
    return quota.ask((reply) => ({ type: 'ask', ask: { entry, client: 'd2', ...use }, reply }));
  };
  t.equal(await askAt(0), undefined);
  t.equal(await askAt(249), undefined);
  t.match(await askAt(250), { number: 4, ...held });
  t.equal(await askAt(1_000), undefined, 'the lease has ended');
});

t.test('new token, new holder', async (t) => {
  // Another daemon may have made grants between the two tokens, so the count kept under the first token is too low.
  const clock = new ManualClock();
  const quota = new QuotaTask(clock);
  quota.post({ type: 'catalogue', catalogue: createTestCatalogue() });
  const own = (token: number): void => {
    const cell = createTestCell([createMember('d1')], 'd1', token);
    quota.post({ type: 'cell', cell });
    quota.post({ type: 'ownership', epoch: 1, leaseEndMs: 99_000, shards: listTestShards(cell) });
  };
  const none = { ratePerSecond: 0, burst: 0, concurrency: 0 };
  const use = { held: none, applied: 0, ratePerSecond: 10, concurrency: 2, inFlight: 0 };
  const requestGrant = (client: string): Promise<QuotaGrant | undefined> => {
    const sent = { entry: entryKey('alpha', 'badges', 'look'), client, ...use, sentMs: clock.monotonicMs() };
    return quota.ask((reply) => ({ type: 'ask', ask: sent, reply }));
  };
  own(2);
  t.equal(await requestGrant('d2'), undefined);
  clock.advance(30_000);
  t.ok(((await requestGrant('d2'))?.burst ?? 0) > 0);
  own(3);
  t.equal(await requestGrant('d3'), undefined);
  clock.advance(250);
  t.match(await requestGrant('d3'), none);
});

t.test('first owner divides at once', async (t) => {
  // A new fleet would otherwise refuse most requests for the time of a grant, although no earlier owner can have made
  // grants. If the first owner lost the shard and got it back, it has to wait, since its own grants may be in use.
  const clock = new ManualClock();
  const quota = new QuotaTask(clock);
  const cell = createTestCell([createMember('d1')], 'd1', 1);
  quota.post({ type: 'catalogue', catalogue: createTestCatalogue() });
  quota.post({ type: 'cell', cell });
  const own = (isOwner: boolean): void =>
    quota.post({
      type: 'ownership',
      epoch: 1,
      leaseEndMs: 99_000,
      shards: isOwner ? listTestShards(cell) : new Map(),
    });
  const none = { ratePerSecond: 0, burst: 0, concurrency: 0 };
  const use = { held: none, applied: 0, ratePerSecond: 10, concurrency: 2, inFlight: 0 };
  const requestGrant = (client: string): Promise<QuotaGrant | undefined> => {
    const sent = { entry: entryKey('alpha', 'badges', 'look'), client, ...use, sentMs: clock.monotonicMs() };
    return quota.ask((reply) => ({ type: 'ask', ask: sent, reply }));
  };
  own(true);
  t.ok(((await requestGrant('d2'))?.burst ?? 0) > 0);
  own(false);
  own(true);
  t.equal(await requestGrant('d3'), undefined);
  clock.advance(250);
  t.match(await requestGrant('d3'), none);
});

t.test('first request waits', async (t) => {
  // An entry that is too small for a reserved part would otherwise refuse the first requests after each pause.
  const fleet = new QuotaFleet({ ...LIMITS, burst: 9, concurrency: 9 }, 10);
  t.teardown(() => fleet.stop());
  await fleet.run(WARM_UP_MS, 0);
  await fleet.run(10, 1, 1);
  await fleet.run(60, 0);
  t.equal(fleet.countAdmitted(WARM_UP_MS, fleet.nowMs), 1);
});
