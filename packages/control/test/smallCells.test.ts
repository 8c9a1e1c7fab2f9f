import t from 'tap';
import { Fleet } from './Fleet.js';

const SERVICES = ['badges', 'levies', 'permits'];

/** Starts two daemons of each service in one region, so that witnesses must come from other services. */
async function startSmallCells(fleet: Fleet): Promise<void> {
  await fleet.startStore();
  const first = await fleet.add('badges-0', 'd0', 'badges');
  const put = await first.plane.putCatalogue(Fleet.catalogue(...SERVICES), 'ana', 0);
  put.unsafeCoerce();
  for (const service of SERVICES) {
    if (service !== 'badges') await fleet.add(`${service}-0`, 'd0', service);
    await fleet.add(`${service}-1`, 'd1', service);
  }
  await fleet.waitFor('service', () => SERVICES.every((service) => fleet.isServed(service)));
}

t.test('witnesses of small cells come from other services', async (t) => {
  const fleet = new Fleet(t);
  await startSmallCells(fleet);
  const hasThree = (): boolean => fleet.live().every((one) => one.member().witnesses.length === 3);
  await fleet.waitFor('three witnesses each', hasThree);
  const { witnesses } = fleet.get('permits-0').member();
  const foreign = witnesses.filter((serverId) => !serverId.startsWith('permits'));
  t.ok(foreign.length >= 2, 'the cell itself has one other member');
  t.strictSame(fleet.conflicts, []);
});

t.test('a lost member of a small cell is taken over', async (t) => {
  const fleet = new Fleet(t);
  await startSmallCells(fleet);
  await fleet.get('permits-0').kill();
  await fleet.waitFor('takeover', () => SERVICES.every((service) => fleet.isServed(service)));
  await fleet.get('levies-1').kill();
  await fleet.waitFor('second takeover', () => SERVICES.every((service) => fleet.isServed(service)));
  t.strictSame(fleet.conflicts, []);
});

t.test('a lone daemon spares its call budget', async (t) => {
  // A daemon without witnesses wrote a new epoch, which nobody could renew, in each lease period. A fleet that started
  // slowly had spent its call budget before it served.
  const fleet = Fleet.withDefaultTimings(t);
  await fleet.startStore();
  await fleet.add('s0', 'd0');
  await fleet.monitorFor(6_000);
  t.ok(fleet.server.readStats().writes <= 2, `${fleet.server.readStats().writes} writes`);
  await fleet.add('s1', 'd1');
  await fleet.add('s2', 'd2');
  await fleet.waitFor('leases', () => fleet.live().every((daemon) => daemon.hasLease()));
});
