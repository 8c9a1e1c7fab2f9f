import t from 'tap';
import type { FleetDaemon } from './FleetDaemon.js';
import { FleetRun } from './FleetRun.js';

/** Time in which a configuration is in force on each daemon that is in contact with the store, in milliseconds. */
const CONFIG_BOUND_MS = 2_500;

const SECOND_MS = 1_000;

async function countCalls(run: FleetRun, durationMs: number): Promise<{ calls: number; price: number }> {
  const before = run.store.calls;
  await run.advance(durationMs);
  const { lists, watches, probes } = run.store.calls;
  const full = lists + watches - before.lists - before.watches;
  const stale = probes - before.probes;
  return { calls: full + stale, price: full + stale / 10 };
}

t.test('calls at rest follow the number of failure domains', async (t) => {
  // Guards against followers that keep watches or probes of the store.
  const durationMs = 30 * SECOND_MS;
  const before = new FleetRun(6, 10, false);
  const after = new FleetRun(6, 10);
  await before.start();
  await after.start();
  const alone = await countCalls(before, durationMs);
  const shared = await countCalls(after, durationMs);
  const perSecond = (calls: number): string => ((calls * SECOND_MS) / durationMs / 60).toFixed(3);
  t.comment(`calls a second of a daemon: ${perSecond(alone.calls)} alone, ${perSecond(shared.calls)} shared`);
  t.comment(`priced calls a second: ${perSecond(alone.price)} alone, ${perSecond(shared.price)} shared`);
  t.equal(after.daemons.filter(({ isReader }) => isReader).length, 12);
  t.ok((shared.calls * SECOND_MS) / durationMs / 60 < 0.3);
  t.ok(shared.calls * 4 < alone.calls);
});

t.test('calls on a change follow the number of failure domains', async (t) => {
  for (const perDomain of [10, 20]) {
    const alone = new FleetRun(6, perDomain, false);
    const shared = new FleetRun(6, perDomain);
    const counts = new Map<FleetRun, { watches: number; bytes: number }>();
    for (const run of [alone, shared]) {
      await run.start();
      const before = run.store.calls;
      for (let change = 1; change <= 5; change += 1) {
        run.announce(run.find('vm-1'), change + 1);
        await run.advance(SECOND_MS);
      }
      const { watches, bytes } = run.store.calls;
      counts.set(run, { watches: watches - before.watches, bytes: bytes - before.bytes });
    }
    t.comment(`${6 * perDomain} daemons, 5 changes: ${JSON.stringify([...counts.values()])}`);
    t.ok((counts.get(shared)?.watches ?? Infinity) <= 5 * 12 + 12);
  }
});

interface Fault {
  readonly name: string;
  /** Affects daemons of the domain `d0`; returns those that are excused from the bound. */
  readonly inject: (run: FleetRun) => readonly FleetDaemon[];
}

const FAULTS: readonly Fault[] = [
  { name: 'none', inject: () => [] },
  {
    name: 'reader killed',
    inject: (run) => {
      const [reader] = run.list('d0', true);
      reader?.kill();
      return reader === undefined ? [] : [reader];
    },
  },
  {
    name: 'all readers killed',
    inject: (run) => {
      const readers = run.list('d0', true);
      for (const reader of readers) reader.kill();
      return readers;
    },
  },
  {
    name: 'reader frozen',
    inject: (run) => {
      const [reader] = run.list('d0', true);
      reader?.freeze(20 * SECOND_MS);
      return reader === undefined ? [] : [reader];
    },
  },
  {
    name: 'all readers frozen',
    inject: (run) => {
      const readers = run.list('d0', true);
      for (const reader of readers) reader.freeze(20 * SECOND_MS);
      return readers;
    },
  },
  ...(['toStore', 'fromStore'] as const).flatMap((cut): readonly Fault[] => [
    {
      name: `reader cut off ${cut}`,
      inject: (run) => {
        const readers = run.list('d0', true).slice(0, 1);
        for (const { link } of readers) link.cut = cut;
        return readers;
      },
    },
    {
      name: `all readers cut off ${cut}`,
      inject: (run) => {
        const readers = run.list('d0', true);
        for (const { link } of readers) link.cut = cut;
        return readers;
      },
    },
  ]),
  {
    name: 'reader frozen, the other cut off',
    inject: (run) => {
      const readers = run.list('d0', true);
      readers[0]?.freeze(20 * SECOND_MS);
      if (readers[1] !== undefined) readers[1].link.cut = 'fromStore';
      return readers;
    },
  },
  {
    name: 'readers separated from followers',
    inject: (run) => {
      for (const reader of run.list('d0', true)) reader.isSeparated = true;
      return [];
    },
  },
  {
    name: 'connections of all readers silent',
    inject: (run) => {
      for (const { link } of run.daemons) link.silence();
      return [];
    },
  },
  {
    name: 'readers lagging',
    inject: (run) => {
      for (const { link } of run.list('d0', true)) link.lagMs = 600;
      return [];
    },
  },
  {
    name: 'readers stopped in order',
    inject: (run) => {
      const readers = run.list('d0', true);
      for (const reader of readers) reader.endFeed();
      return [];
    },
  },
];

/** Phases of polls and probes at which a fault begins, and times from its begin to a change, in milliseconds. */
const PHASES_MS = [5, 200, 400, 600, 800, 950];
const LEADS_MS = [0, 200, 450, 700, 1_000, 1_300, 1_700];
const MOMENTS = PHASES_MS.flatMap((phaseMs) => LEADS_MS.map((leadMs) => ({ phaseMs, leadMs })));

for (const { name, inject } of FAULTS)
  t.test(`changes are in force in time: ${name}`, { timeout: 110_000 }, async (t) => {
    let worstMs = 0;
    for (const { phaseMs, leadMs } of MOMENTS) {
      const run = new FleetRun(2, 8);
      await run.start();
      await run.advance(phaseMs);
      if (run.list('d0', true).length !== 2) t.fail('the fault would not meet the readers');
      const excused = inject(run);
      await run.advance(leadMs);
      const others = run.daemons.filter((each) => !excused.includes(each));
      worstMs = Math.max(worstMs, await run.publish(others, 2 * CONFIG_BOUND_MS));
      run.store.set('evacuations', 'd1', {});
      for (let slots = 2; slots < 6; slots += 1) {
        run.announce(run.find('vm-1'), slots);
        await run.advance(300);
      }
      run.announce(run.find('vm-3'), 9);
      const hasEntry = (): boolean => others.every(({ view }) => view?.servers.get('vm-3')?.slots === 9);
      worstMs = Math.max(worstMs, await run.measure(2 * CONFIG_BOUND_MS, hasEntry));
      run.store.delete('evacuations', 'd1');
      const isLifted = (): boolean => others.every(({ view }) => view?.evacuated.size === 0);
      worstMs = Math.max(worstMs, await run.measure(2 * CONFIG_BOUND_MS, isLifted));
      worstMs = Math.max(worstMs, await run.publish(others, 2 * CONFIG_BOUND_MS));
      t.same(
        run.daemons.flatMap(({ reversals }) => reversals),
        [],
      );
    }
    t.comment(`longest time: ${worstMs} ms`);
    t.ok(worstMs <= CONFIG_BOUND_MS, `${worstMs} ms`);
  });

t.test('followers return to a reader after its fault', async (t) => {
  // Guards against a fleet that watches the store by every daemon for good after one fault.
  const run = new FleetRun(1, 10);
  await run.start();
  const readers = run.list('d0', true);
  for (const { link } of readers) link.cut = 'fromStore';
  await run.advance(4 * SECOND_MS);
  t.ok(run.list('d0', true).length > 2, 'others read the store meanwhile');
  for (const { link } of readers) link.cut = 'none';
  await run.advance(6 * SECOND_MS);
  t.same(run.list('d0', true), readers);
  t.ok((await run.publish(run.daemons, CONFIG_BOUND_MS)) < SECOND_MS);
});

t.test('two reserves read the store if both readers are gone', async (t) => {
  // Guards against a domain whose daemons all watch the store until the entries of lost VMs are removed.
  const run = new FleetRun(1, 20);
  await run.start();
  for (const reader of run.list('d0', true)) reader.kill();
  await run.advance(15 * SECOND_MS);
  const alive = run.daemons.filter(({ isEnded }) => !isEnded);
  t.ok(alive.filter(({ isReader }) => isReader).length <= 2);
  t.ok((await run.publish(alive, CONFIG_BOUND_MS)) < SECOND_MS);
});

t.test('outage of the store costs no more calls than before', async (t) => {
  // Guards against followers that all turn to a store that is down, again and again.
  const attempts: number[] = [];
  for (const follows of [false, true]) {
    const run = new FleetRun(6, 10, follows);
    await run.start();
    const before = run.store.attempts;
    run.store.isDown = true;
    await run.advance(20 * SECOND_MS);
    t.ok(run.daemons.every(({ version }) => version === 1));
    run.store.isDown = false;
    attempts.push(run.store.attempts - before);
    const longestMs = await run.publish(run.daemons, 2 * CONFIG_BOUND_MS);
    t.comment(`in force ${longestMs} ms after the outage`);
    t.ok(longestMs <= CONFIG_BOUND_MS, `${longestMs} ms`);
    await run.advance(5 * SECOND_MS);
    if (follows) t.equal(run.daemons.filter(({ isReader }) => isReader).length, 12);
  }
  t.comment(`calls in an outage of 20 s: ${attempts[0]} alone, ${attempts[1]} shared`);
  t.ok((attempts[1] ?? Infinity) <= (attempts[0] ?? 0));
});

t.test('hint of another daemon moves followers from a reader that is behind', async (t) => {
  // Guards against a reader whose watch is stalled while its probes are answered.
  const run = new FleetRun(1, 6);
  await run.start();
  const [stalled] = run.list('d0', true);
  const followers = run
    .list('d0', false)
    .filter(({ logger }) => logger.records.at(-1)?.fields.peer === stalled?.serverId);
  t.ok(followers.length > 0);
  if (stalled !== undefined) stalled.link.stallsWatches = true;
  const revision = run.store.set('routes', 'main', 2);
  await run.advance(500);
  t.ok(followers.every(({ version }) => version === 1));
  const before = run.store.attempts;
  for (const daemon of followers) daemon.hint([revision]);
  await run.advance(SECOND_MS);
  t.ok(followers.every(({ version }) => version === 2));
  t.ok(run.store.attempts - before < 10, 'the followers did not turn to the store');
});

t.test('hint that nobody can confirm sends no follower to the store', async (t) => {
  // Guards against a malformed or outdated peer whose hints make every follower list the store.
  const run = new FleetRun(1, 10);
  await run.start();
  for (let second = 0; second < 8; second += 1) {
    for (const daemon of run.list('d0', false)) daemon.hint([1_000_000]);
    await run.advance(SECOND_MS);
  }
  t.equal(run.list('d0', true).length, 2);
});

t.test('daemon that joins moves only the readers that it replaces', async (t) => {
  const run = new FleetRun(1, 12);
  const late = run.daemons.slice(6);
  for (const { serverId } of late) run.store.delete('servers', serverId);
  for (const daemon of run.daemons.slice(0, 6)) daemon.start();
  await run.advance(4 * SECOND_MS);
  for (const daemon of late) {
    daemon.start();
    run.announce(daemon, 1);
    await run.advance(500);
  }
  await run.advance(4 * SECOND_MS);
  t.equal(run.list('d0', true).length, 2);
  t.ok((await run.publish(run.daemons, CONFIG_BOUND_MS)) < SECOND_MS);
});

t.test('two daemons of a failure domain read the store as before', async (t) => {
  const run = new FleetRun(3, 2);
  await run.start();
  await run.advance(5 * SECOND_MS);
  t.equal(run.daemons.filter(({ isReader }) => isReader).length, 6);
  t.ok(run.daemons.every(({ received }) => received === 0));
});
