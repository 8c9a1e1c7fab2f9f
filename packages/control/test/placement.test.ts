import t from 'tap';
import { Fleet } from './Fleet.js';

t.test('first member does not receive all shards', async (t) => {
  // The daemon that started first kept nearly all shards for minutes, so that its loss hit nearly all keys.
  const fleet = new Fleet(t);
  await fleet.start(4);
  await fleet.waitFor('service', () => fleet.isServed());
  const most = fleet.owner().usable().size;
  t.ok(most <= 64, `the largest owner has ${most} of 128`);
  t.strictSame(fleet.conflicts, []);
});
