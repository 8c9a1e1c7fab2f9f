import t from 'tap';
import { AcceptMonitor } from '#mesh/AcceptMonitor.js';
import { ArrivalRun } from './ArrivalRun.js';

/** More iterations of the event loop than the task needs to become idle. */
const SOME_TURNS = 10;

t.test('request of a caller that left at once is not processed', async (t) => {
  const run = new ArrivalRun(0);
  run.arrive(1);
  await run.turn(1);
  t.equal(run.passed.length, 0);
  run.task.post({ type: 'left', exchange: 1 });
  await run.turn(SOME_TURNS);
  t.equal(run.passed.length, 0);
  t.equal(run.left.length, 0, 'there is nothing to cancel');
  t.equal(run.task.load, 0);
});

t.test('caller that leaves during processing is reported', async (t) => {
  const run = new ArrivalRun(0);
  run.arrive(1);
  await run.turn(SOME_TURNS);
  run.task.post({ type: 'left', exchange: 1 });
  await run.turn(1);
  t.equal(run.passed.length, 1);
  t.same(run.left, [1]);
});

t.test('processing waits until all connections are accepted', async (t) => {
  // The event loop accepts one connection per iteration; processing a request in each one delayed the next
  // accept.
  const run = new ArrivalRun(0);
  run.arrive(1);
  for (let turn = 0; turn < SOME_TURNS; turn += 1) {
    run.task.post({ type: 'accepted' });
    await run.turn(1);
    t.equal(run.passed.length, 0);
  }
  await run.turn(SOME_TURNS);
  t.equal(run.passed.length, 1);
});

t.test('constant stream of connections does not stop processing', async (t) => {
  const run = new ArrivalRun(0);
  run.arrive(1);
  for (let turn = 0; turn < SOME_TURNS; turn += 1) {
    run.task.post({ type: 'accepted' });
    run.clock.advance(5);
    await run.turn(1);
  }
  t.equal(run.passed.length, 1);
});

t.test('newest request is processed first, and late ones are refused', async (t) => {
  // Requests were processed in the order of arrival, so that under overload each of them had missed its deadline.
  const run = new ArrivalRun(300);
  for (let exchange = 1; exchange <= 5; exchange += 1) run.arrive(exchange, 400);
  await run.turn(SOME_TURNS);
  t.same(
    run.passed.map(({ id }) => id),
    ['5'],
  );
  t.equal(run.replies.length, 4);
  t.match(run.replies[0], { type: 'refusal', status: 503, code: 'busy', retryAfterMs: 100 });
  t.equal(run.task.load, 0);
});

t.test('stall alone causes no refusal', async (t) => {
  // A request was refused as late after a stall of the process, though nothing else waited.
  const run = new ArrivalRun(0);
  run.arrive(1, 400);
  await run.turn(1);
  run.clock.advance(300);
  await run.turn(SOME_TURNS);
  t.equal(run.passed.length, 1);
  t.equal(run.replies.length, 0);
});

t.test('processing pauses to read sockets', async (t) => {
  const run = new ArrivalRun(15);
  for (let exchange = 1; exchange <= 6; exchange += 1) run.arrive(exchange);
  await run.turn(3);
  t.ok(run.passed.length < 6);
  await run.turn(SOME_TURNS);
  t.equal(run.passed.length, 6);
});

t.test('time before a request is read counts as wait', async (t) => {
  // The admission control treated a request as new that had waited unread for seconds.
  const run = new ArrivalRun(0);
  run.task.start();
  await run.turn(SOME_TURNS);
  run.clock.advance(450);
  run.arrive(1, 2_000);
  run.arrive(2, 100);
  await run.turn(SOME_TURNS);
  const byId = new Map(run.passed.map(({ id, arrivedMs }) => [id, arrivedMs]));
  t.equal(byId.get('1'), 250, 'half of the 400 ms since the event loop was last known to be idle');
  t.equal(byId.get('2'), 400, 'no more than its deadline has passed for a caller that still waits');
  t.equal(run.delays.buckets().sumMicros, 800_000);
  run.arrive(3);
  await run.turn(SOME_TURNS);
  t.equal(run.passed.at(-1)?.arrivedMs, 450);
  run.task.stop();
});

t.test('read delay ends only when no connection waits', (t) => {
  const monitor = new AcceptMonitor(0);
  monitor.startTurn(0);
  monitor.noteAccepted();
  t.equal(monitor.endTurn(), false);
  t.equal(monitor.lagMs(1_050), 1_000);
  monitor.startTurn(1_050);
  t.equal(monitor.endTurn(), true);
  t.equal(monitor.lagMs(1_060), 0);
  t.end();
});

t.test('dropped requests are counted in one log line a second', async (t) => {
  // One line for each request took processor time from those that could be served.
  const run = new ArrivalRun(0);
  for (let exchange = 1; exchange <= 50; exchange += 1) {
    run.arrive(exchange);
    run.task.post({ type: 'left', exchange });
  }
  await run.turn(SOME_TURNS);
  t.same(run.logger.records, []);
  run.clock.advance(1_000);
  t.match(run.logger.records, [{ event: 'arrivalsDropped', fields: { left: 50, refused: 0 } }]);
  t.equal(run.metrics.snapshotBuckets().counters.arrivalsLeft, 50);
});
