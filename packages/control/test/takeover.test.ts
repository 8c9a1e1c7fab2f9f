import t from 'tap';
import { Fleet } from './Fleet.js';

t.test('daemons join one cell and serve each shard once', async (t) => {
  const fleet = new Fleet(t);
  await fleet.start(4);
  await fleet.waitFor('service', () => fleet.isServed());
  t.strictSame(fleet.conflicts, []);
});

t.test('a killed daemon is taken over within 3 s at default timings', async (t) => {
  const fleet = Fleet.withDefaultTimings(t);
  await fleet.start(4);
  await fleet.waitFor('service', () => fleet.isServed());
  const owner = fleet.live().find((daemon) => daemon.usable().size > 0)!;
  const killedAtMs = Date.now();
  await owner.kill();
  await fleet.waitFor('takeover', () => fleet.isServed());
  const tookMs = Date.now() - killedAtMs;
  t.comment(`served again after ${tookMs} ms`);
  t.ok(tookMs < 3_000, `${tookMs} ms`);
  t.strictSame(fleet.conflicts, []);
});
