import t from 'tap';
import { advanceChart } from '#chart/AdvanceChart.js';
import { compileChart } from '#chart/CompileChart.js';
import { moveRules } from '#control/MoveRules.js';
import file from '../charts/move.json' with { type: 'json' };
import { Fleet } from './Fleet.js';

t.test('a drained daemon moves all shards away and leaves', async (t) => {
  const fleet = Fleet.withDefaultTimings(t);
  await fleet.start(4);
  await fleet.waitFor('service', () => fleet.isServed());
  const owner = fleet.owner();
  const owned = [...owner.usable().keys()];
  t.ok(owned.length > 0);
  const left = owner.plane.drain();
  await fleet.waitFor('moves', () => fleet.isServed() && owner.usable().size === 0);
  t.equal(await left, true);
  const others = fleet.live().filter((daemon) => daemon !== owner);
  const adopted = new Set(others.flatMap((daemon) => daemon.adopted));
  t.strictSame(
    owned.filter((shardId) => !adopted.has(shardId)),
    [],
    'the records of each shard were handed over',
  );
  await owner.kill();
  await fleet.waitFor('departure', () =>
    others.every((one) => one.cell!.members.every(({ serverId }) => serverId !== owner.serverId)),
  );
  t.strictSame(fleet.conflicts, []);
});

t.test('lost replies during moves leave no shard unserved or served twice', async (t) => {
  const fleet = new Fleet(t);
  await fleet.start(4);
  await fleet.waitFor('service', () => fleet.isServed());
  const owner = fleet.owner();
  fleet.server.setFaults({ loseReplies: 5 });
  const left = owner.plane.drain();
  await fleet.waitFor('moves', () => fleet.isServed() && owner.usable().size === 0);
  t.equal(await left, true);
  t.strictSame(fleet.conflicts, []);
});

t.test('an outage during moves returns the shards to their owner', async (t) => {
  const fleet = new Fleet(t);
  await fleet.start(4);
  await fleet.waitFor('service', () => fleet.isServed());
  const owner = fleet.owner();
  void owner.plane.drain();
  await fleet.waitFor('a first move', () => owner.usable().size < 128);
  fleet.server.setFaults({ down: true });
  await fleet.waitFor('service without the store', () => fleet.isServed());
  fleet.server.setFaults({ down: false });
  await fleet.waitFor('moves', () => fleet.isServed() && owner.usable().size === 0);
  t.strictSame(fleet.conflicts, []);
});

t.test('an owner lost during a move is taken over', async (t) => {
  const fleet = new Fleet(t);
  await fleet.start(4);
  await fleet.waitFor('service', () => fleet.isServed());
  const owner = fleet.owner();
  owner.holdRelease = true;
  void owner.plane.drain();
  await fleet.waitFor('a release', () => owner.usable().size < 128);
  await owner.kill();
  await fleet.waitFor('takeover', () => fleet.isServed());
  t.strictSame(fleet.conflicts, []);
});

t.test('a withdrawn failure domain moves its shards away', async (t) => {
  const fleet = new Fleet(t);
  await fleet.start(4);
  await fleet.waitFor('service', () => fleet.isServed());
  const owner = fleet.owner();
  const { failureDomain } = owner.facts;
  const withdrawal = { kind: 'failureDomain', name: failureDomain, author: 'ana', sinceMs: 0 } as const;
  await owner.plane.putIntent({ withdrawals: [withdrawal], confirmedLost: [] }, 'ana', 0);
  const inside = (): number =>
    fleet
      .live()
      .filter((one) => one.facts.failureDomain === failureDomain)
      .reduce((sum, one) => sum + one.usable().size, 0);
  await fleet.waitFor('moves', () => fleet.isServed() && inside() === 0);
  t.strictSame(fleet.conflicts, []);
});

t.test('a daemon leaves after many look-ups', async (t) => {
  // If look-ups spend the call budget, the store client refuses the moves of the drain, and the daemon ends while the
  // cell still names it as an owner.
  const fleet = Fleet.withDefaultTimings(t);
  fleet.calls = {};
  await fleet.start(4);
  await fleet.waitFor('service', () => fleet.isServed());
  const owner = fleet.owner();
  for (let count = 0; count < 100; count += 1)
    await owner.plane.fetchCell(owner.service, 0, owner.cell!.version + 1);
  const left = owner.plane.drain();
  await fleet.waitFor('moves', () => fleet.isServed() && owner.usable().size === 0);
  t.equal(await left, true);
  t.strictSame(fleet.conflicts, []);
});

t.test('balance leaves calls to a drain', async (t) => {
  // Balance moves must not spend the store calls that a drain needs. The owner also needs calls to learn of the others.
  const fleet = Fleet.withDefaultTimings(t);
  fleet.calls = { callsPerSecond: 0, callBurst: 34 };
  await fleet.startStore();
  const owner = await fleet.add('s0', 'd0');
  await fleet.waitFor('shards', () => Object.keys(owner.cell?.shards ?? {}).length === 128);
  await fleet.add('s1', 'd1');
  await fleet.add('s2', 'd2');
  await fleet.waitFor('service', () => fleet.isServed());
  await fleet.monitorFor(5_000);
  t.equal(owner.usable().size, 128);
  t.equal(await owner.plane.drain(), true);
  t.strictSame(fleet.conflicts, []);
});

t.test('a daemon that leaves does not join', async (t) => {
  // If its join is written after its drain, it stays an active member until its process ends.
  const fleet = new Fleet(t);
  await fleet.start(3);
  await fleet.waitFor('service', () => fleet.isServed());
  const late = await fleet.add('s3', 'd0');
  t.equal(await late.plane.drain(), true);
  await fleet.monitorFor(1_000);
  t.notOk(fleet.get('s0').cell!.members.some(({ serverId }) => serverId === 's3'));
});

t.test('a move whose write is refused has failed', (t) => {
  // The log reported such moves as done, which hid why a daemon still owned shards when it ended.
  const chart = compileChart('move.json', file, moveRules);
  const writing = { value: 'writing', context: { moves: [], to: 's1', records: [] } };
  const end = (accepted: boolean): string =>
    advanceChart(chart, writing, { type: 'written', accepted }).snapshot.value;
  t.equal(end(false), 'failed');
  t.equal(end(true), 'done');
  t.end();
});
