import fc from 'fast-check';
import t from 'tap';
import type { EntryLimits } from '#catalogue/EntryLimits.js';
import { RandomSource } from '#core/RandomSource.js';
import type { QuotaRequest } from '#admission/QuotaRequest.js';
import { QuotaClient } from '#admission/QuotaClient.js';
import { QuotaHolder } from '#admission/QuotaHolder.js';
import type { QuotaSettings } from '#admission/QuotaSettings.js';
import type { QuotaGrant } from '#admission/QuotaGrant.js';
import { computeReservedShare } from '#admission/ComputeReservedShare.js';

const SEED = Number(process.env.SEED ?? 20261204);
t.comment(`seed ${SEED}`);

const SETTINGS: QuotaSettings = { grantMs: 1_000, reservedFraction: 0.2, clockDrift: 0.01 };
const LIMITS: EntryLimits = {
  ratePerSecond: 200,
  burst: 40,
  concurrency: 30,
  share: 1,
  priority: 5,
  defaultDeadlineMs: 500,
  maxDeadlineMs: 500,
  maxBodyBytes: 1_000,
  interRegionBytesPerSecond: 0,
};

interface Fleet {
  readonly seed: number;
  readonly clients: number;
  /** Requests per second that all clients together receive. */
  readonly demand: number;
  readonly lossPercent: number;
  readonly holderChanges: boolean;
  /** Longest time that a request is in flight, in milliseconds. */
  readonly holdMs: number;
  /** Whether the demand stops for one second out of four. */
  readonly pauses: boolean;
  readonly limits: EntryLimits;
}

interface Result {
  readonly admitted: number;
  readonly leastTokens: number;
  readonly peakConcurrency: number;
}

interface Pending {
  readonly dueMs: number;
  readonly run: () => void;
}

/** Simulates a fleet for 20 s in steps of 10 ms, and compares its admissions with one token bucket with the limits. */
function runFleet(fleet: Fleet): Result {
  const { limits } = fleet;
  const random = new RandomSource(fleet.seed);
  const clients = Array.from({ length: fleet.clients }, (_, index) => new QuotaClient(SETTINGS, `c${index}`));
  const offsets = clients.map(() => random.integer(1_000_000));
  clients.forEach((client, rank) => client.setPosition(rank, clients.length, offsets[rank]!));
  let pending: Pending[] = [];
  let holder = new QuotaHolder(SETTINGS, 0);
  let tokens = limits.burst;
  let concurrency = 0;
  let result: Result = { admitted: 0, leastTokens: tokens, peakConcurrency: 0 };

  const send = (nowMs: number, client: QuotaClient, offset: number, request: QuotaRequest): void => {
    if (random.integer(100) < fleet.lossPercent) return;
    const arriveMs = nowMs + random.integer(60);
    const reply = (): void => {
      const grant: QuotaGrant = holder.grant(request, limits, arriveMs);
      if (random.integer(100) < fleet.lossPercent) return;
      const replyMs = arriveMs + random.integer(200);
      pending.push({ dueMs: replyMs, run: () => client.apply(grant, replyMs + offset) });
    };
    pending.push({ dueMs: arriveMs, run: reply });
  };
  const arrive = (nowMs: number, client: QuotaClient, offset: number): void => {
    if (client.admit('e', limits, nowMs + offset).kind !== 'admit') return;
    tokens -= 1;
    concurrency += 1;
    const end = (): void => {
      client.release('e');
      concurrency -= 1;
    };
    pending.push({ dueMs: nowMs + random.integer(fleet.holdMs), run: end });
    const { admitted, leastTokens, peakConcurrency } = result;
    result = {
      admitted: admitted + 1,
      leastTokens: Math.min(leastTokens, tokens),
      peakConcurrency: Math.max(peakConcurrency, concurrency),
    };
  };

  for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
    tokens = Math.min(limits.burst, tokens + limits.ratePerSecond / 100);
    if (fleet.holderChanges && nowMs % 6_000 === 5_000) holder = new QuotaHolder(SETTINGS, nowMs);
    for (;;) {
      const due = pending.filter(({ dueMs }) => dueMs <= nowMs);
      if (due.length === 0) break;
      pending = pending.filter(({ dueMs }) => dueMs > nowMs);
      for (const { run } of due) run();
    }
    clients.forEach((client, index) => {
      const offset = offsets[index]!;
      for (const request of client.nextRequests(nowMs + offset)) send(nowMs, client, offset, request);
    });
    // The first client receives half of the demand.
    const arrivals =
      !fleet.pauses || nowMs % 4_000 < 3_000 ? random.integer((2 * fleet.demand) / 100 + 1) : 0;
    for (let count = 0; count < arrivals; count += 1) {
      const index = random.integer(2) === 0 ? 0 : random.integer(clients.length);
      arrive(nowMs, clients[index]!, offsets[index]!);
    }
  }
  return result;
}

// Guards against a fleet that exceeds a limit under some pattern of demand, message loss, delay and change of the
// holder.
t.test('limits hold for the fleet', (t) => {
  const fleet = fc.record({
    seed: fc.integer({ min: 1, max: 1e6 }),
    clients: fc.integer({ min: 1, max: 12 }),
    demand: fc.constantFrom(50, 400, 5_000),
    lossPercent: fc.constantFrom(0, 10, 50),
    holderChanges: fc.boolean(),
    holdMs: fc.constantFrom(20, 500),
    pauses: fc.boolean(),
    limits: fc.constantFrom(LIMITS, { ...LIMITS, ratePerSecond: 2_000, burst: 30, concurrency: 200 }),
  });
  const property = fc.property(fleet, (fields) => {
    const { leastTokens, peakConcurrency } = runFleet(fields);
    return leastTokens >= -1e-6 && peakConcurrency <= fields.limits.concurrency;
  });
  t.doesNotThrow(() => fc.assert(property, { seed: SEED, numRuns: 40 }));
  t.end();
});

// Guards against a division that keeps the limit but refuses most of what the limit allows.
t.test('limits are used', (t) => {
  const fleet = {
    seed: SEED,
    clients: 6,
    demand: 2_000,
    lossPercent: 0,
    holderChanges: false,
    holdMs: 20,
    pauses: true,
    limits: LIMITS,
  };
  const byRate = runFleet(fleet).admitted;
  const byConcurrency = runFleet({ ...fleet, holdMs: 500 }).admitted;
  const light = runFleet({ ...fleet, demand: 50 }).admitted;
  t.comment(`${byRate} of 3200 by rate, ${byConcurrency} of 1800 by concurrency, ${light} of 750 when light`);
  t.ok(byRate > 0.6 * 3_200);
  t.ok(byConcurrency > 0.6 * 1_800);
  t.ok(light > 0.8 * 750);
  t.end();
});

// Guards against reserved shares whose sum differs from the reserved part, also if there are fewer units than daemons.
t.test('reserved shares', (t) => {
  const property = fc.property(
    fc.integer({ min: 1, max: 500 }),
    fc.integer({ min: 1, max: 300 }),
    (size, burst) => {
      const limits = { ratePerSecond: 100, burst, concurrency: burst };
      const shares = Array.from({ length: size }, (_, rank) => computeReservedShare(limits, 0.2, rank, size));
      const units = shares.reduce((total, share) => total + share.burst, 0);
      const rate = shares.reduce((total, share) => total + share.ratePerSecond, 0);
      return units === Math.floor(burst * 0.2) && rate <= 20 + 1e-6;
    },
  );
  t.doesNotThrow(() => fc.assert(property, { seed: SEED }));
  t.same(computeReservedShare(LIMITS, 0.2, 5, 4), { ratePerSecond: 0, burst: 0, concurrency: 0 });
  t.end();
});

// Guards against a daemon that admits nothing, or everything, while the holder cannot be reached.
t.test('holder unreachable', (t) => {
  const client = new QuotaClient(SETTINGS, 'c');
  client.setPosition(0, 2, 0);
  const admitted = (fromMs: number, toMs: number): number => {
    let count = 0;
    for (let nowMs = fromMs; nowMs < toMs; nowMs += 10) {
      if (client.admit('e', LIMITS, nowMs).kind !== 'admit') continue;
      client.release('e');
      count += 1;
    }
    return count;
  };
  const count = admitted(0, 10_000);
  t.ok(count >= 190 && count <= 205, `${count} requests at a reserved rate of 20 a second`);
  const request = client.nextRequests(10_000)[0]!;
  t.equal(client.nextRequests(10_010).length, 0, 'quota requests are not repeated at once');
  client.apply(
    {
      entry: 'e',
      number: 1,
      ratePerSecond: 80,
      burst: 16,
      concurrency: 9,
      tokens: 16,
      sentMs: request.sentMs,
      sliceMs: 1_000,
    },
    10_020,
  );
  t.ok(admitted(10_020, 11_000) >= 85, 'the grant is used');
  t.ok(admitted(11_000, 12_000) <= 25, 'and only until it expires');
  t.end();
});

const NONE = { ratePerSecond: 0, burst: 0, concurrency: 0 };

function createQuotaRequest(client: string, fields: Partial<QuotaRequest> = {}): QuotaRequest {
  const demand = { ratePerSecond: 1_000, concurrency: 100, inFlight: 0 };
  return { entry: 'e', client, applied: 0, held: NONE, sentMs: 0, ...demand, ...fields };
}

// Guards against granting the concurrency of requests that still run after their grant was reduced or has expired.
t.test('requests outlive grants', (t) => {
  const holder = new QuotaHolder(SETTINGS, 0);
  const first = holder.grant(createQuotaRequest('a'), LIMITS, 2_000);
  t.equal(first.concurrency, 24, 'all but the reserved part');
  const idle = createQuotaRequest('a', {
    applied: 1,
    sentMs: 100,
    ratePerSecond: 0,
    concurrency: 0,
    inFlight: 20,
  });
  t.equal(holder.grant(idle, LIMITS, 2_100).concurrency, 0);
  t.equal(
    holder.grant(createQuotaRequest('b'), LIMITS, 2_100).concurrency,
    0,
    'the first grant may still be in use',
  );
  holder.grant({ ...idle, applied: 2, sentMs: 200 }, LIMITS, 2_200);
  t.equal(
    holder.grant(createQuotaRequest('b', { applied: 1 }), LIMITS, 2_200).concurrency,
    4,
    '20 still run',
  );
  holder.grant({ ...idle, applied: 2, sentMs: 150, inFlight: 0 }, LIMITS, 2_300);
  t.equal(
    holder.grant(createQuotaRequest('b', { applied: 2 }), LIMITS, 2_300).concurrency,
    4,
    'an overtaken request does not lower the count',
  );
  t.equal(
    holder.grant(createQuotaRequest('b', { applied: 3 }), LIMITS, 3_650).concurrency,
    4,
    'grants have expired, requests may still run',
  );
  t.equal(
    holder.grant(createQuotaRequest('b', { applied: 4 }), LIMITS, 4_100).concurrency,
    24,
    'the longest deadline has passed',
  );
  t.end();
});

// Guards against a new holder that grants again what earlier grants still allow, or that does not renew these.
t.test('new holder only renews grants', (t) => {
  const holder = new QuotaHolder(SETTINGS, 0);
  const held = { ratePerSecond: 80, burst: 10, concurrency: 7 };
  t.match(holder.grant(createQuotaRequest('a', { applied: 5, held }), LIMITS, 10), {
    number: 6,
    ...held,
    tokens: 0,
  });
  t.match(holder.grant(createQuotaRequest('b'), LIMITS, 20), NONE);
  t.match(holder.grant(createQuotaRequest('a', { applied: 6, sentMs: 900 }), LIMITS, 1_000), { ...held });
  const after = holder.grant(createQuotaRequest('b', { applied: 1, sentMs: 1_050 }), LIMITS, 1_100);
  t.ok(after.ratePerSecond > 0, 'the earlier grants have expired');
  t.equal(after.concurrency, 0, 'requests admitted under them may still run');
  t.ok(holder.grant(createQuotaRequest('b', { applied: 2, sentMs: 1_600 }), LIMITS, 1_600).concurrency > 0);
  t.end();
});
