import fc from 'fast-check';
import t from 'tap';
import type { EntryLimits } from '#catalogue/EntryLimits.js';
import { RandomSource } from '#core/RandomSource.js';
import { QuotaClient } from '#admission/QuotaClient.js';
import { QuotaHolder } from '#admission/QuotaHolder.js';
import type { QuotaSettings } from '#admission/QuotaSettings.js';

const SEED = Number(process.env.SEED ?? 20261206);
t.comment(`seed ${SEED}`);

const SETTINGS: QuotaSettings = {
  grantMs: 1_000,
  tokens: { minGrantMs: 300, unreportedTokens: 5, initialTokens: 0 },
  reservedFraction: 0.1,
  clockDrift: 0.01,
};
const LIMITS: EntryLimits = {
  ratePerSecond: 50,
  burst: 30,
  concurrency: 1_000_000,
  share: 1,
  priority: 5,
  defaultDeadlineMs: 0,
  maxDeadlineMs: 0,
  maxBodyBytes: 0,
  interRegionBytesPerSecond: 0,
};

interface Fleet {
  readonly seed: number;
  readonly clients: number;
  /** Most requests of one client in 10 ms. */
  readonly demand: number;
  readonly lossPercent: number;
  readonly holderChanges: boolean;
  /** Whether tokens are only collected in each first second of two. */
  readonly pauses: boolean;
  /** Longest delay of a message, in milliseconds. */
  readonly delayMs: number;
}

interface Pending {
  readonly dueMs: number;
  readonly run: (nowMs: number) => void;
}

/** Simulates clients that request random numbers of tokens and return some; returns the admitted requests and the least
 * content of one token bucket with the limits. */
function runFleet(fleet: Fleet): { readonly admitted: number; readonly least: number } {
  const random = new RandomSource(fleet.seed);
  const clients = Array.from({ length: fleet.clients }, (_, index) => new QuotaClient(SETTINGS, `c${index}`));
  const offsets = clients.map(() => random.integer(1_000_000));
  clients.forEach((client, rank) => client.setPosition(rank, clients.length, offsets[rank]!));
  let holder = new QuotaHolder(SETTINGS, 0);
  let pending: readonly Pending[] = [];
  let tokens = LIMITS.burst;
  let least = tokens;
  let admitted = 0;
  const later = (nowMs: number, run: (nowMs: number) => void): void => {
    if (random.integer(100) < fleet.lossPercent) return;
    pending = [...pending, { dueMs: nowMs + random.integer(fleet.delayMs), run }];
  };
  for (let nowMs = 0; nowMs < 15_000; nowMs += 10) {
    tokens = Math.min(LIMITS.burst, tokens + LIMITS.ratePerSecond / 100);
    if (fleet.holderChanges && nowMs % 4_000 === 2_700) holder = new QuotaHolder(SETTINGS, nowMs);
    const due = pending.filter(({ dueMs }) => dueMs <= nowMs);
    pending = pending.filter(({ dueMs }) => dueMs > nowMs);
    for (const { run } of due) run(nowMs);
    clients.forEach((client, index) => {
      const ownMs = nowMs + offsets[index]!;
      const isPaused = fleet.pauses && nowMs % 2_000 < 1_000;
      for (let count = isPaused ? 0 : random.integer(fleet.demand + 1); count > 0; count -= 1) {
        if (client.admit('e', LIMITS, ownMs).kind !== 'admit') continue;
        client.release('e');
        admitted += 1;
        tokens -= 1;
        least = Math.min(least, tokens);
      }
      // Every second client reports seldom, so that a new holder does not know what it has.
      if (random.integer(index % 2 === 0 ? 10 : 60) > 0) return;
      const request = client.requestTokens('e', LIMITS, random.integer(12), ownMs);
      later(nowMs, (atMs) => {
        const grant = holder.grantTokens(request, LIMITS, atMs);
        later(atMs, (endMs) => client.apply(grant, endMs + offsets[index]!));
      });
    });
  }
  return { admitted, least };
}

// Guards against tokens that are counted twice after a loss, a return, an overtaken message or a change of the holder.
t.test('token grants hold the limit', (t) => {
  const fleet = fc.record({
    seed: fc.integer({ min: 1, max: 1e6 }),
    clients: fc.integer({ min: 1, max: 12 }),
    demand: fc.constantFrom(1, 5),
    lossPercent: fc.constantFrom(0, 10, 50),
    holderChanges: fc.boolean(),
    pauses: fc.boolean(),
    delayMs: fc.constantFrom(10, 60, 500),
  });
  const property = fc.property(fleet, (fields) => runFleet(fields).least >= -1e-6);
  t.doesNotThrow(() => fc.assert(property, { seed: SEED, numRuns: 150 }));
  t.end();
});

// Guards against a new holder that grants while daemons may still use the tokens of the former one.
t.test('new holder grants no tokens until earlier grants have expired', (t) => {
  const client = new QuotaClient(SETTINGS, 'b');
  const holder = new QuotaHolder(SETTINGS, 1_000);
  const ask = (nowMs: number): number => {
    const grant = holder.grantTokens(client.requestTokens('e', LIMITS, 27, nowMs), LIMITS, nowMs);
    t.equal(grant.readyInMs > 0, nowMs < 1_404, `ready at ${nowMs}`);
    return grant.tokens;
  };
  // A grant lasts 400 ms at this rate, with the clock drift 404 ms.
  t.equal(ask(1_001), 0);
  t.equal(ask(1_400), 0);
  t.equal(ask(1_405), 0, 'and starts without tokens');
  t.equal(ask(1_604), 9, 'which accrue at the rate without the reserved part');
  t.end();
});

// Guards against token grants that keep the limit but leave most of it unused.
t.test('token grants use the limit', (t) => {
  const fleet = {
    seed: SEED,
    clients: 4,
    demand: 5,
    lossPercent: 0,
    holderChanges: false,
    pauses: false,
    delayMs: 60,
  };
  const { admitted } = runFleet(fleet);
  t.comment(`${admitted} of 750`);
  t.ok(admitted > 0.8 * 700);
  t.end();
});
