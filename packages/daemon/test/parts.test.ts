import t from 'tap';
import { createCell } from '#assignment/CreateCell.js';
import type { Member } from '#assignment/Member.js';
import { RoundRobin } from '#balance/RoundRobin.js';
import { indexCatalogue } from '#catalogue/IndexCatalogue.js';
import { RandomSource } from '#core/RandomSource.js';
import { CatalogueHistory } from '#daemon/CatalogueHistory.js';
import { mergeInSteps } from '#daemon/MergeInSteps.js';
import { mergeSnapshots } from '#metrics/MergeSnapshots.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import { chooseTarget } from '#proxy/ChooseTarget.js';
import { createCatalogue } from './CreateCatalogue.js';
import { FakeStore } from './FakeStore.js';

t.test('failed history write stops the change', async (t) => {
  // A change that continued although the replaced version was not archived would lose that version.
  const store = new FakeStore();
  const history = new CatalogueHistory(store, 'd1');
  const catalogue = createCatalogue();
  store.refusesWrites = true;
  await t.rejects(history.archive({ version: 3, author: 'a', catalogue }), new Error('refused'));
  store.refusesWrites = false;
  await history.archive({ version: 3, author: 'a', catalogue });
  // Two operators who change the same version at the same time both archive it.
  await history.archive({ version: 3, author: 'a', catalogue });
  t.match(await history.read(3), { version: 3, author: 'a' });
});

t.test('history page reads at most 10 objects', async (t) => {
  // Calls to the store are limited by a budget, and a history grows by thousands of versions a day.
  const store = new FakeStore();
  const history = new CatalogueHistory(store, 'd1');
  const catalogue = createCatalogue();
  for (let version = 1; version < 40; version += 1)
    await history.archive({ version, author: `author-${version}`, timeMs: version, catalogue });
  const value = { author: 'newest', catalogue };
  store.objects.set('catalogue', { name: 'catalogue', version: 40, marks: [], value });
  const first = await history.list({ after: '', limit: 500 });
  t.equal(store.reads, 10);
  t.equal(first.items[0]?.author, 'newest');
  const second = await history.list({ after: first.next, limit: 500 });
  t.equal(second.items[0]?.version, 30);
});

t.test('merge in steps equals merge at once', async (t) => {
  // A stepwise merge that dropped or duplicated a series would show operators wrong totals.
  const snapshots = await Promise.all(
    [1, 2, 3].map((factor) => {
      const recorder = new MetricsRecorder();
      for (let team = 0; team < 6; team += 1) {
        for (let count = 0; count < factor * (team + 1); count += 1) {
          recorder.countOutcome(`t${team}`, 'c', 'delivered');
          recorder.recordPhase(`t${team}`, 'c', 'whole', 1_000 * factor);
        }
      }
      recorder.count('storeCalls', factor);
      recorder.setGauge('ownedShards', factor);
      return recorder.snapshot();
    }),
  );
  const byTeam = (left: { readonly team: string }, right: { readonly team: string }): number =>
    left.team.localeCompare(right.team);
  const expected = mergeSnapshots(snapshots, 4);
  const merged = await mergeInSteps(snapshots, 4);
  t.same([...merged.series].sort(byTeam), [...expected.series].sort(byTeam));
  t.same(merged.counters, { storeCalls: 6 });
  t.same(merged.gauges, { ownedShards: 3 });
});

t.test('withdrawn member is not chosen', (t) => {
  // A withdrawn failure domain must get no new requests, although its members are still active.
  const members = ['a', 'b'].map((failureDomain): Member => {
    const facts = {
      epoch: 1,
      incarnation: 'i',
      state: 'active',
      region: 'nairobi',
      vm: failureDomain,
    } as const;
    const ports = { host: '127.0.0.1', callerPort: 1, peerPort: 2, udpPort: 3, adminPort: 4 };
    const rest = { witnesses: [], checksToken: true, slots: 6, failureDomain, serverId: failureDomain };
    return { ...facts, ...ports, ...rest };
  });
  const catalogue = createCatalogue();
  const [service] = catalogue.services.map((each) => ({ ...each, keyed: false }));
  const [entry] = catalogue.entries;
  const cells = new Map([['badges/0', { ...createCell('badges', 0), members }]]);
  const index = indexCatalogue({ version: 1, author: '', catalogue });
  const head = { requestId: '', method: 'GET', service: 'badges', path: '/', team: 'alpha', class: 'look' };
  const facts = {
    head: { ...head, key: '', deadlineMs: 0, idempotencyKey: '', epoch: '', contentLength: 0, headers: {} },
    checked: { entry: entry!, service: service!, needsOwnership: false },
    region: 'nairobi',
    failureDomain: 'a',
    excluded: new Set<string>(),
  };
  const choose = (names: readonly string[]): unknown => {
    const withdrawn = names.map((name) => ({ kind: 'failureDomain' as const, name }));
    return chooseTarget({ index, cells, withdrawn }, facts, new RoundRobin(), new RandomSource(1), 0)
      .map(({ member }) => member.serverId)
      .mapLeft(({ code }) => code)
      .extract();
  };
  t.equal(choose([]), 'a');
  t.equal(choose(['a']), 'b');
  t.equal(choose(['a', 'b']), 'noBackendServer');
  t.end();
});
