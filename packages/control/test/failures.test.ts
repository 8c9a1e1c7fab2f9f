import t from 'tap';
import { Fleet } from './Fleet.js';

/** Lease lengths of the two kinds of test fleets; a state that outlasts several leases counts as permanent. */
const LEASE_MS = 600;
const DEFAULT_LEASE_MS = 1_500;

t.test('an outage of the store stops reassignment, not service', async (t) => {
  const fleet = Fleet.withDefaultTimings(t);
  await fleet.start(4);
  await fleet.waitFor('service', () => fleet.isServed());
  const owner = fleet.owner();
  fleet.server.setFaults({ down: true });
  fleet.holders = [...fleet.daemons.keys()];
  await fleet.monitorFor(3 * DEFAULT_LEASE_MS);
  t.ok(fleet.isServed(), 'still served');
  fleet.holders = fleet.holders.filter((serverId) => serverId !== owner.serverId);
  const lost = [...owner.usable().keys()];
  await owner.kill();
  await fleet.monitorFor(3 * DEFAULT_LEASE_MS);
  t.notOk(fleet.isAnyServed(lost), 'nothing is taken');
  fleet.server.setFaults({ down: false });
  await fleet.waitFor('takeover', () => fleet.isServed());
  t.strictSame([fleet.conflicts, fleet.lapses], [[], []]);
});

t.test('a takeover whose write loses its reply succeeds', async (t) => {
  const fleet = new Fleet(t);
  await fleet.start(4);
  await fleet.waitFor('service', () => fleet.isServed());
  fleet.server.setFaults({ loseReplies: 1 });
  await fleet.owner().kill();
  await fleet.waitFor('takeover', () => fleet.isServed());
  t.strictSame(fleet.conflicts, []);
});

t.test('a paused owner does not use its expired lease', async (t) => {
  const fleet = new Fleet(t);
  await fleet.start(4);
  await fleet.waitFor('service', () => fleet.isServed());
  const owner = fleet.owner();
  owner.clock.pause();
  fleet.cut(owner.serverId, 'both');
  await fleet.waitFor('takeover', () => fleet.isServed() && owner.usable().size === 0);
  fleet.restoreLinks(owner.serverId);
  owner.clock.resume();
  await fleet.waitFor('return', () => owner.hasLease() && fleet.isServed());
  t.strictSame(fleet.conflicts, []);
});

t.test('a paused owner keeps its epoch if the store was down meanwhile', async (t) => {
  const fleet = new Fleet(t);
  await fleet.start(4);
  await fleet.waitFor('service', () => fleet.isServed());
  const owner = fleet.owner();
  const epoch = owner.ownership!.epoch;
  fleet.server.setFaults({ down: true });
  owner.clock.pause();
  fleet.cut(owner.serverId, 'both');
  await fleet.monitorFor(4 * LEASE_MS);
  t.equal(owner.usable().size, 0, 'its lease has ended');
  fleet.restoreLinks(owner.serverId);
  owner.clock.resume();
  await fleet.waitFor('return', () => fleet.isServed());
  t.equal(owner.ownership!.epoch, epoch);
  t.strictSame(fleet.conflicts, []);
});

for (const direction of ['both', 'to', 'from'] as const) {
  t.test(`an owner whose links are cut is replaced (${direction})`, async (t) => {
    const fleet = new Fleet(t);
    await fleet.start(5);
    await fleet.waitFor('service', () => fleet.isServed());
    const owner = fleet.owner();
    fleet.cut(owner.serverId, direction);
    await fleet.waitFor('takeover', () => fleet.isServed() && owner.usable().size === 0);
    fleet.restoreLinks(owner.serverId);
    await fleet.waitFor('return', () => owner.hasLease() && fleet.isServed());
    t.strictSame(fleet.conflicts, []);
  });
}
