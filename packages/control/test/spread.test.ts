import t from 'tap';
import { sharedObjectCodecs } from '#control/SharedObjectCodecs.js';
import { Fleet } from './Fleet.js';

t.test('an accepted catalogue reaches all daemons', async (t) => {
  const fleet = new Fleet(t);
  await fleet.start(4);
  const put = await fleet.get('s0').plane.putCatalogue(Fleet.catalogue(), 'ana', 0);
  t.strictSame(put.unsafeCoerce(), { type: 'accepted', version: 1 });
  await fleet.waitFor('version 1', () =>
    fleet.live().every((daemon) => daemon.catalogueVersions.includes(1)),
  );
});

t.test('one of two concurrent operator changes is accepted', async (t) => {
  const fleet = new Fleet(t);
  await fleet.start(3);
  const puts = await Promise.all([
    fleet.get('s0').plane.putCatalogue(Fleet.catalogue('a'), 'ana', 0),
    fleet.get('s1').plane.putCatalogue(Fleet.catalogue('b'), 'ben', 0),
  ]);
  const outcomes = puts.map((put) => put.unsafeCoerce());
  const winner = outcomes[0]!.type === 'accepted' ? 'ana' : 'ben';
  t.same(outcomes.map(({ type }) => type).sort(), ['accepted', 'conflict']);
  t.match(
    outcomes.find(({ type }) => type === 'conflict'),
    { version: 1, author: winner },
  );
});

t.test('a restarted daemon without the store takes the newest catalogue of its peers', async (t) => {
  const fleet = new Fleet(t);
  await fleet.start(4);
  await fleet.get('s0').plane.putCatalogue(Fleet.catalogue(), 'ana', 0);
  await fleet.get('s0').plane.putCatalogue(Fleet.catalogue(), 'ana', 1);
  await fleet.waitFor('version 2', () => fleet.live().every((one) => one.catalogueVersions.includes(2)));
  fleet.server.setFaults({ down: true });
  await fleet.get('s3').kill();
  const restarted = await fleet.add('s3', 'd0');
  await fleet.waitFor('the catalogue', () => restarted.catalogueVersions.length > 0);
  t.strictSame(restarted.catalogueVersions, [2]);
});

t.test('a delayed older catalogue is not applied', async (t) => {
  const fleet = new Fleet(t);
  await fleet.start(3);
  await fleet.get('s0').plane.putCatalogue(Fleet.catalogue(), 'ana', 0);
  await fleet.get('s0').plane.putCatalogue(Fleet.catalogue(), 'ana', 1);
  await fleet.waitFor('version 2', () => fleet.live().every((one) => one.catalogueVersions.includes(2)));
  const stale = { name: 'catalogue', version: 1, value: { author: 'ana', catalogue: Fleet.catalogue() } };
  const peer = fleet.get('s0');
  const digest = { c: 9, i: 0, n: '', v: 0 };
  peer.transport.handle('digest', () => ({ digest }));
  let fetches = 0;
  peer.transport.handle('fetch', () => {
    fetches += 1;
    return stale;
  });
  await fleet.waitFor('fetches of the older version', () => fetches >= 2);
  const put = await fleet.get('s1').plane.putCatalogue(Fleet.catalogue(), 'ana', 2);
  t.match(put.unsafeCoerce(), { type: 'accepted', version: 3 });
  const others = fleet.live().filter((one) => one !== peer);
  await fleet.waitFor('version 3', () => others.every((one) => one.catalogueVersions.includes(3)));
  for (const { catalogueVersions } of fleet.live()) {
    t.strictSame(catalogueVersions, [...catalogueVersions].sort(), 'versions only rise');
  }
});

t.test('store readers adopt a change by another writer', async (t) => {
  const fleet = new Fleet(t);
  await fleet.start(4);
  const value = { author: 'ana', catalogue: Fleet.catalogue() };
  await fleet.get('s0').store.put({ name: 'catalogue', value, ifVersion: 0, marks: ['elsewhere'] });
  await fleet.waitFor('version 1', () => fleet.live().every((one) => one.catalogueVersions.includes(1)));
  const states = await Promise.all(fleet.live().map((one) => one.plane.readStatus()));
  t.equal(states.filter((state) => state.spread.isReader).length, 2);
});

t.test('a change passes from cell to cell without seeds', async (t) => {
  const fleet = new Fleet(t);
  fleet.hasSeeds = false;
  await fleet.startStore();
  const services = ['badges', 'levies'];
  const first = await fleet.add('badges-0', 'd0', 'badges');
  await first.plane.putCatalogue(Fleet.catalogue(...services), 'ana', 0);
  for (let index = 0; index < 4; index += 1) {
    if (index > 0) await fleet.add(`badges-${index}`, `d${index % 3}`, 'badges');
    await fleet.add(`levies-${index}`, `d${index % 3}`, 'levies');
  }
  await fleet.waitFor('service', () => services.every((service) => fleet.isServed(service)));
  await first.plane.putCatalogue(Fleet.catalogue(...services), 'ana', 1);
  await fleet.waitFor('version 2', () => fleet.live().every((one) => one.catalogueVersions.includes(2)));
  t.strictSame(fleet.conflicts, []);
});

t.test('a malformed object in the store ends no daemon', async (t) => {
  // A stored value that is used without checking its form throws and ends the process.
  const fleet = new Fleet(t);
  await fleet.start(3);
  await fleet.get('s0').plane.putCatalogue(Fleet.catalogue(), 'ana', 0);
  await fleet.waitFor('version 1', () => fleet.live().every((one) => one.catalogueVersions.includes(1)));
  const url = `http://127.0.0.1:${fleet.storePort}/objects`;
  const write = async (name: string, version: number, value: unknown): Promise<void> => {
    const condition = version === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${version}"` };
    const body = JSON.stringify({ marks: [], value });
    const res = await fetch(`${url}/${name}`, { method: 'PUT', headers: condition, body });
    t.ok(res.ok, `${name} ${version}`);
  };
  for (const [index, value] of [null, 5, {}, { author: 'x', intent: { withdrawals: 5 } }].entries()) {
    await write('intent', index, value);
    await write('catalogue', index + 1, value);
    await new Promise((resolve) => setTimeout(resolve, 300));
  }
  await write('catalogue', 5, { author: 'ana', catalogue: Fleet.catalogue() });
  await fleet.waitFor('version 6', () => fleet.live().every((one) => one.catalogueVersions.includes(6)));
  t.same([...new Set(fleet.get('s0').catalogueVersions)], [1, 6]);
});

t.test('an intent with a current timestamp is readable', (t) => {
  // Unix milliseconds exceed the bound of the codec for measurements. With that codec no intent was readable, and no
  // withdrawal took effect.
  const withdrawal = { kind: 'vm', name: 'a', author: 'ana', sinceMs: Date.now() + 0.5 };
  const intent = { withdrawals: [withdrawal], confirmedLost: ['b'] };
  const object = { name: 'intent', version: 3, value: { author: 'ana', timeMs: Date.now(), intent } };
  t.equal(sharedObjectCodecs.intent.decode(object).isRight(), true);
  t.end();
});
