import t from 'tap';
import type { HedgeResult } from '#hedging/HedgeResult.js';
import { limitHedging } from '#hedging/LimitHedging.js';
import { HedgeRun } from './HedgeRun.js';

const load = { running: 0, queued: 0, slots: 4 };
const success: HedgeResult = { type: 'answered', response: { status: 200 }, load };
const error: HedgeResult = { type: 'answered', response: { status: 500 }, load };
const lost: HedgeResult = { type: 'lost', load: undefined };
const refused: HedgeResult = { type: 'refused', load: undefined };

/** A request that was sent to `a` and is so slow that its second copy was sent to `b`. */
async function startRace(): Promise<HedgeRun> {
  const run = new HedgeRun(['a', 'b']);
  await run.learn(20);
  await run.send('slow', 'a');
  await run.advance(25);
  return run;
}

t.test('slow request is sent to a second server', async (t) => {
  const run = await startRace();
  t.match(run.sent, [{ server: { serverId: 'a' } }, { server: { serverId: 'b' }, request: { copy: 2 } }]);
  await run.complete(1, success);
  t.match(run.replies, [{ result: success, second: { server: { serverId: 'b' } } }]);
  t.same(run.cancelled, ['slow@a'], 'the first copy does not go on');
  t.match(run.counters, { hedges: 1, hedgesWon: 1 });
});

t.test('quick request is not sent twice', async (t) => {
  const run = new HedgeRun(['a', 'b']);
  await run.learn(20);
  await run.send('quick', 'a');
  await run.advance(10);
  await run.complete(0, success);
  await run.advance(500);
  t.equal(run.sent.length, 1);
  t.equal(run.replies.length, 1);
});

t.test('first copy that ends first is the result', async (t) => {
  const run = await startRace();
  await run.complete(0, success);
  t.match(run.replies, [{ result: success, second: { server: { serverId: 'b' }, result: undefined } }]);
  t.same(run.cancelled, ['slow@b']);
  await run.complete(1, success);
  t.equal(run.replies.length, 1, 'a later result is dropped');
});

t.test('failure of one copy does not end the request', async (t) => {
  for (const failure of [error, lost, refused]) {
    for (const failing of [0, 1]) {
      const run = await startRace();
      await run.complete(failing, failure);
      t.same(run.replies, []);
      await run.complete(1 - failing, success);
      t.match(run.replies, [{ result: success }]);
      t.same(run.cancelled, []);
    }
  }
});

t.test('refusal is reported only if neither copy may have run', async (t) => {
  for (const [first, second, expected] of [
    [refused, lost, lost],
    [lost, refused, lost],
    [refused, error, error],
    [error, lost, error],
    [refused, refused, refused],
  ] as const) {
    const run = await startRace();
    await run.complete(0, first);
    await run.complete(1, second);
    t.equal(run.replies[0]?.result, expected);
    t.match(run.counters, { hedges: 1, hedgesLost: 1 });
  }
});

t.test('caller that leaves cancels both copies', async (t) => {
  const run = await startRace();
  run.task.post({ type: 'cancel', id: 'slow', server: { serverId: 'a' } });
  await run.advance(0);
  t.same(run.cancelled, ['slow@a', 'slow@b']);
  await run.complete(1, success);
  t.same(run.replies, []);
});

t.test('request without an offer is cancelled', async (t) => {
  const run = new HedgeRun(['a', 'b']);
  run.task.post({ type: 'cancel', id: 'other', server: { serverId: 'a' } });
  await run.advance(0);
  t.same(run.cancelled, ['other@a']);
});

t.test('full servers get no second copy', async (t) => {
  const run = new HedgeRun(['a', 'b']);
  await run.learn(20);
  await run.send('last', 'b');
  await run.complete(0, { ...success, load: { running: 4, queued: 1, slots: 4 } });
  await run.send('slow', 'a');
  await run.advance(25);
  t.equal(run.sent.length, 2);
  t.match(run.counters, { hedgesDeniedByRoom: 1 });
});

t.test('service that refuses gets no second copy', async (t) => {
  const run = new HedgeRun(['a', 'b', 'c']);
  await run.learn(20);
  await run.send('turned away', 'c');
  await run.complete(0, refused);
  await run.send('slow', 'a');
  await run.advance(25);
  t.equal(run.sent.length, 2);
});

t.test('old report shows no free slot', async (t) => {
  const run = new HedgeRun(['a', 'b']);
  await run.learn(20);
  await run.advance(2_000);
  await run.send('slow', 'a');
  await run.advance(25);
  t.equal(run.sent.length, 1);
});

t.test('server that leaves gets no second copy', async (t) => {
  // The servers were chosen when the first copy was sent, which may be seconds before.
  const run = new HedgeRun(['a', 'b']);
  await run.learn(20);
  await run.send('slow', 'a');
  await run.send('other', 'b');
  run.task.post({ type: 'servers', serverIds: new Set(['a']) });
  await run.complete(1, success);
  await run.advance(25);
  t.equal(run.sent.length, 2);
  t.match(run.counters, { hedgesDeniedByRoom: 1 });
});

t.test('result is told for each copy', async (t) => {
  const run = await startRace();
  await run.complete(0, error);
  await run.complete(1, success);
  t.match(run.replies, [{ result: success, second: { result: success, firstResult: error } }]);
  const other = await startRace();
  await other.complete(1, success);
  t.match(other.replies, [{ result: success, second: { result: success, firstResult: undefined } }]);
});

t.test('limit of the operators is kept', async (t) => {
  const run = new HedgeRun(['a', 'b'], { fraction: 0.1, percentile: 95 });
  await run.learn(20, 100);
  for (let index = 0; index < 50; index += 1) {
    await run.send(`slow-${index}`, 'a');
    await run.advance(25);
    await run.complete(run.sent.length - 1, success);
  }
  t.ok((run.counters.hedges ?? 0) <= 0.1 * 150, 'a tenth of the requests');
  t.ok((run.counters.hedges ?? 0) > 0);
  t.ok((run.counters.hedgesDeniedByLimit ?? 0) > 0);
});

t.test('copy that cannot end before the deadline is not sent', async (t) => {
  const run = new HedgeRun(['a', 'b']);
  await run.learn(990);
  await run.send('slow', 'a');
  await run.advance(995);
  t.equal(run.sent.length, 1);
});

t.test('stopping daemon sends no second copy', async (t) => {
  const run = new HedgeRun(['a', 'b']);
  await run.learn(20);
  await run.send('slow', 'a');
  run.task.post({ type: 'stopping' });
  await run.advance(25);
  t.equal(run.sent.length, 1);
});

t.test('hedges use a part of the retry budget only', (t) => {
  t.same(limitHedging({ fraction: 0.5, percentile: 95 }, 0.2), { fraction: 0.05, percentile: 95 });
  t.same(limitHedging({ fraction: 0.02, percentile: 95 }, 0.2), { fraction: 0.02, percentile: 95 });
  t.end();
});
