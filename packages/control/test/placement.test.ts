import t from 'tap';
import { Fleet } from './Fleet.js';

t.test('first member does not receive all shards', async (t) => {
  // If all shards are placed on the daemon that starts first, it keeps most of them for minutes, and its loss hits
  // nearly all keys.
  const fleet = new Fleet(t);
  await fleet.start(4);
  await fleet.waitFor('service', () => fleet.isServed());
  const most = fleet.owner().usable().size;
  t.ok(most <= 64, `the largest owner has ${most} of 128`);
  t.strictSame(fleet.conflicts, []);
});
