import t from 'tap';
import { RandomSource } from '#core/RandomSource.js';
import { estimateQueueMs } from '#placement/EstimateQueueMs.js';
import type { PlacementCandidate } from '#placement/PlacementCandidate.js';
import { PlacementChooser } from '#placement/PlacementChooser.js';
import type { LoadReport } from '#balance/LoadReport.js';

const ORIGIN = { region: 'r', failureDomain: 'd' };
const IDLE: LoadReport = { running: 0, queued: 0, slots: 4, waitMs: 0, serviceMs: 50, slowdown: 1 };
const QUEUED: LoadReport = { ...IDLE, running: 4, queued: 12, waitMs: 200 };

function createCandidate(serverId: string, change: Partial<PlacementCandidate> = {}): PlacementCandidate {
  return { serverId, ...ORIGIN, slots: 4, ...change };
}

function createChooser(loads: Readonly<Record<string, LoadReport>>, nowMs = 0): PlacementChooser {
  const chooser = new PlacementChooser(ORIGIN, new RandomSource(1));
  for (const [id, load] of Object.entries(loads)) {
    chooser.noteSent(id);
    chooser.noteResult(id, 'success', load, nowMs);
  }
  return chooser;
}

function countChoices(
  chooser: PlacementChooser,
  candidates: readonly PlacementCandidate[],
  nowMs: number,
): readonly number[] {
  const counts = candidates.map(() => 0);
  for (let index = 0; index < 400; index += 1) {
    const chosen = chooser.choose(candidates, nowMs) ?? 0;
    counts[chosen] = (counts[chosen] ?? 0) + 1;
  }
  return counts;
}

t.test('queue is expected also if the mean leaves a slot free', (t) => {
  t.equal(estimateQueueMs(3, 0, 4, 50), 0);
  t.equal(estimateQueueMs(8, 0, 4, 50), 62.5);
  t.ok(estimateQueueMs(3, 3, 4, 50) > 0);
  t.end();
});

t.test('free server nearby keeps its requests', (t) => {
  const chooser = createChooser({ a: IDLE, b: IDLE, c: IDLE });
  const far = [createCandidate('b', { failureDomain: 'e' }), createCandidate('c', { region: 's' })];
  const [near = 0] = countChoices(chooser, [createCandidate('a'), ...far], 10);
  t.equal(near, 400);
  t.end();
});

t.test('wait nearby moves requests to another region', (t) => {
  // The cost of the distance outweighed waits of a second.
  const chooser = createChooser({ a: { ...QUEUED, queued: 80, waitMs: 1_000 }, b: IDLE });
  const counts = countChoices(chooser, [createCandidate('a'), createCandidate('b', { region: 's' })], 10);
  t.ok((counts[1] ?? 0) > 300, counts.join());
  t.end();
});

t.test('faster server is chosen, not the one with more slots', (t) => {
  const chooser = createChooser({
    a: { ...IDLE, serviceMs: 150, slowdown: 2, slots: 12 },
    b: { ...IDLE, serviceMs: 60, slowdown: 0.8 },
  });
  const counts = countChoices(chooser, [createCandidate('a', { slots: 12 }), createCandidate('b')], 10);
  t.ok((counts[1] ?? 0) > 390, counts.join());
  t.end();
});

t.test('server without a report gets its part', (t) => {
  // It was either chosen by every daemon, as its wait seemed to be nothing, or by none.
  const known = { ...IDLE, running: 2 };
  const chooser = createChooser({ a: known, b: known, c: known });
  const counts = countChoices(
    chooser,
    ['a', 'b', 'c', 'new'].map((id) => createCandidate(id)),
    2_000,
  );
  t.ok((counts[3] ?? 0) > 40 && (counts[3] ?? 0) < 250, counts.join());
  t.end();
});

t.test('equal servers are chosen equally by daemons that know the same', (t) => {
  // Requests of one instant from many daemons all went to the server that had just reported least.
  const candidates = ['a', 'b', 'c'].map((id) => createCandidate(id));
  const loads = { a: QUEUED, b: { ...QUEUED, queued: 11, waitMs: 187 }, c: QUEUED };
  const counts = countChoices(createChooser(loads), candidates, 10);
  t.ok(
    counts.every((count) => count > 80),
    counts.join(),
  );
  t.end();
});

t.test('old report of a queue is not believed', (t) => {
  const chooser = createChooser({ a: IDLE, b: IDLE });
  chooser.noteResult('a', 'success', QUEUED, 10_000);
  const candidates = [createCandidate('a'), createCandidate('b')];
  t.ok((countChoices(chooser, candidates, 10_010)[0] ?? 0) < 20);
  for (let atMs = 11_000; atMs < 20_000; atMs += 1_000) chooser.noteResult('b', 'success', IDLE, atMs);
  t.ok((countChoices(chooser, candidates, 60_000)[0] ?? 0) > 0, 'tried again');
  t.end();
});

t.test('failures cost in proportion and are forgotten', (t) => {
  const chooser = createChooser({ a: IDLE, b: IDLE });
  const candidates = [createCandidate('a'), createCandidate('b', { failureDomain: 'e' })];
  for (let index = 0; index < 4; index += 1) chooser.noteResult('a', 'failure', undefined, 10);
  t.ok((countChoices(chooser, candidates, 20)[1] ?? 0) > 390);
  t.ok((countChoices(chooser, candidates, 60_000)[0] ?? 0) > 390);
  t.end();
});

t.test('reports of nothing do not break the choice', (t) => {
  // A service time or slowdown of zero made the weights of the other servers meaningless.
  const zero = { running: 0, queued: 0, slots: 0, waitMs: 0, serviceMs: 0, slowdown: 0 };
  const candidates = ['a', 'b', 'c'].map((id) => createCandidate(id, { slots: id === 'b' ? 0 : 4 }));
  const counts = countChoices(createChooser({ a: zero, b: zero }), candidates, 10);
  t.ok(
    counts.every((count) => count > 0),
    counts.join(),
  );
  t.end();
});

t.test('choice among 35 servers takes microseconds', (t) => {
  // It is made for each request, thousands of times a second at the size to design for.
  const candidates = Array.from({ length: 35 }, (_, index) =>
    createCandidate(`s${index}`, { failureDomain: `d${index % 6}`, region: `r${index % 3}` }),
  );
  const loads = Object.fromEntries(candidates.map(({ serverId }) => [serverId, IDLE]));
  const chooser = createChooser(loads);
  for (let index = 0; index < 20_000; index += 1) chooser.choose(candidates, index / 10);
  const beganMs = performance.now();
  for (let index = 0; index < 20_000; index += 1) chooser.choose(candidates, 2_000 + index / 10);
  const micros = ((performance.now() - beganMs) * 1_000) / 20_000;
  t.comment(`${micros.toFixed(1)} microseconds`);
  t.ok(micros < 100, `${micros} microseconds`);
  t.end();
});
