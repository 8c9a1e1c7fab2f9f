import t from 'tap';
import { OverloadSimulation } from './OverloadSimulation.js';
import { overloadKinds } from './OverloadKinds.js';

const SEED = Number(process.env.SEED ?? 20261204);
t.comment(`seed ${SEED}`);

const DURATION_MS = 10_000;
const SETTINGS = {
  kinds: overloadKinds,
  callKind: 'call',
  servers: new Map([
    ['front', [0.5, 0.7, 0.9, 1.1, 1.3, 1.5]],
    ['back', [0.7, 1, 1.3]],
  ]),
  slots: 6,
  daemons: 60,
  retries: 1,
  seed: SEED,
};

/** Outside requests per second that the servers of a service can run in the long run, approximately. */
const CAPACITY = new Map([
  ['front', 390],
  ['back', 330],
]);

type Change = Partial<ConstructorParameters<typeof OverloadSimulation>[0]>;

/** Plays a demand, as a multiple of the capacity. */
function play(demand: (nowMs: number) => number, isLegacy: boolean, change: Change = {}): OverloadSimulation {
  const simulation = new OverloadSimulation({
    ...SETTINGS,
    isLegacy,
    rate: (service, nowMs) => CAPACITY.get(service)! * demand(nowMs),
    ...change,
  });
  simulation.run(DURATION_MS);
  return simulation;
}

function describe(name: string, simulation: OverloadSimulation): string {
  const { total } = simulation;
  const kinds = [...simulation.results].map(
    ([kind, { offered, inTime, late }]) =>
      `${kind} ${(inTime / offered).toFixed(2)}+${(late / offered).toFixed(2)}`,
  );
  return [
    `${name}: worth ${Math.round(total.worth)} of ${total.offered} requests`,
    `in time + late: ${kinds.sort().join(', ')}`,
    `held ${total.held}`,
    `attempts ${(total.attempts / total.offered).toFixed(2)}`,
    `used ${simulation.usedFraction.toFixed(3)}`,
    `wasted ${simulation.wastedFraction.toFixed(3)}`,
    `lost calls ${simulation.lostCalls} of ${simulation.calls}`,
  ].join('; ');
}

function servedShare({ results }: OverloadSimulation, kind: string): number {
  const { inTime, late, offered } = results.get(kind)!;
  return (inTime + late) / offered;
}

interface Checks {
  readonly ok: (value: unknown, message: string) => unknown;
}

/** Checks that no kind of the service `front` is served less than a quarter as often as all of them. */
function checkShares(t: Checks, simulation: OverloadSimulation): void {
  const kinds = overloadKinds.filter(({ service }) => service === 'front').map(({ name }) => name);
  const all = kinds.map((kind) => simulation.results.get(kind)!);
  const served = all.reduce((sum, { inTime, late }) => sum + inTime + late, 0);
  const share = served / all.reduce((sum, { offered }) => sum + offered, 0);
  for (const kind of kinds)
    t.ok(servedShare(simulation, kind) >= share / 4, `${kind}: ${servedShare(simulation, kind)} of ${share}`);
}

for (const [demand, retries] of [
  [1.3, 1],
  [1.6, 2],
] as const)
  t.test(`demand of ${demand} times the capacity, ${retries} repeats`, (t) => {
    // Guards against queueing at full servers until the deadline, repeats that come together, and lost calls.
    const before = play(() => demand, true, { retries });
    const after = play(() => demand, false, { retries });
    t.comment(describe('before', before));
    t.comment(describe('after', after));
    t.ok(after.total.worth > before.total.worth, 'more worth is earned');
    t.ok(after.total.held < before.total.held, 'fewer requests are held without reaching a server');
    t.ok(after.total.attempts / after.total.offered < before.total.attempts / before.total.offered);
    t.ok(after.wastedFraction < before.wastedFraction, 'less work is wasted');
    t.ok(after.lostCalls <= after.calls * 0.01, 'calls of running work are served');
    const pay = after.results.get('pay')!;
    t.ok(pay.inTime / pay.offered >= 0.9, 'the most urgent kind is served');
    checkShares(t, after);
    t.end();
  });

t.test('demand below the capacity is served as before', (t) => {
  // Guards against refusals or a different choice of servers without overload.
  const before = play(() => 0.5, true);
  const after = play(() => 0.5, false);
  t.same([...after.results], [...before.results]);
  t.equal(after.total.refused, 0);
  t.end();
});

t.test('constant overload does not oscillate', (t) => {
  // Guards against daemons that all stop sending, or all start again, at once.
  const { servedPer100Ms } = play(() => 1.6, false);
  for (const [service, counts] of servedPer100Ms) {
    const steady = counts.slice(20, DURATION_MS / 100);
    const mean = steady.reduce((sum, each) => sum + each, 0) / steady.length;
    const windows = steady.slice(4).map((_each, index) => {
      const window = steady.slice(index, index + 5);
      return window.reduce((sum, each) => sum + each, 0) / 5;
    });
    t.ok(Math.min(...windows) > mean * 0.6, `${service}: ${Math.min(...windows)} of ${mean}`);
  }
  t.end();
});

t.test('requests are served again once the overload ends', (t) => {
  // Guards against an outlook or a schedule that refuses requests when there is capacity again.
  const OVERLOAD_END_MS = 4_000;
  const simulation = play((nowMs) => (nowMs < OVERLOAD_END_MS ? 1.6 : 0.5), false);
  const refusedLate = simulation.refusedMs.filter((atMs) => atMs > OVERLOAD_END_MS + 1_500);
  t.ok(simulation.refusedMs.length > 0);
  t.same(refusedLate, []);
  t.end();
});

t.test('burst of an urgent kind does not crowd out the others', (t) => {
  // Guards against kinds that are not served at all while a more urgent one takes the whole capacity.
  const kinds = overloadKinds.map((kind) => (kind.name === 'renew' ? { ...kind, fraction: 2 } : kind));
  const simulation = play(() => 2, false, { kinds });
  t.comment(describe('burst', simulation));
  checkShares(t, simulation);
  t.end();
});

t.test('server that refuses half of its requests closes nothing', (t) => {
  // Guards against taking the refusals of one faulty server for a lack of capacity.
  const simulation = play(() => 0.5, false, { shedFraction: 0.5 });
  t.comment(describe('faulty server', simulation));
  t.ok(simulation.total.refused <= simulation.total.offered * 0.01, `${simulation.total.refused} refused`);
  t.end();
});

t.test('single request at a time is never refused', (t) => {
  // Guards against refusals by figures that stand for no load.
  const simulation = play(() => 0.005, false);
  t.equal(simulation.total.refused, 0);
  t.end();
});
