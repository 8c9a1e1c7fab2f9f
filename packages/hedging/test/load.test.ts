import t from 'tap';
import { playHedgeLoad } from './HedgeLoad.js';

const REQUESTS = 3_000;

t.test('slowest responses are shortened under a light load', async (t) => {
  const plan = { utilization: 0.4, requests: REQUESTS };
  const plain = await playHedgeLoad({ ...plan, fraction: 0 });
  const hedged = await playHedgeLoad({ ...plan, fraction: 0.05 });
  t.comment(`p99 ${plain.p99Ms} ms, hedged ${hedged.p99Ms} ms, copies ${hedged.copies}`);
  t.ok(hedged.p99Ms < plain.p99Ms / 2, 'the slowest hundredth');
  t.ok(hedged.meanMs <= plain.meanMs, 'the mean');
  t.ok(hedged.copies <= 1.05, 'the extra work stays within the limit');
});

t.test('service without free slots gets no extra work', async (t) => {
  const plan = { utilization: 1.3, requests: REQUESTS };
  const plain = await playHedgeLoad({ ...plan, fraction: 0 });
  const hedged = await playHedgeLoad({ ...plan, fraction: 0.05 });
  t.comment(`p99 ${plain.p99Ms} ms, hedged ${hedged.p99Ms} ms, copies ${hedged.copies}`);
  t.equal(hedged.hedgesUnderLoad, 0, 'no second copy while all slots are in use');
  t.ok(hedged.meanMs <= plain.meanMs * 1.02, 'other requests do not wait for copies');
});
