import t from 'tap';
import { AcceptWatch } from '#mesh/AcceptWatch.js';
import { ArrivalRun } from './ArrivalRun.js';

const SOME_TURNS = 10;

t.test('work begins after a turn in which the end would show', async (t) => {
  const run = new ArrivalRun(0);
  run.arrive(1);
  await run.turn(1);
  t.equal(run.passed.length, 0);
  run.task.post({ type: 'left', exchange: 1 });
  await run.turn(SOME_TURNS);
  t.equal(run.passed.length, 0);
  t.equal(run.left.length, 0, 'nothing has to be cancelled');
  t.equal(run.task.load, 0);
});

t.test('caller that leaves during the work is reported', async (t) => {
  const run = new ArrivalRun(0);
  run.arrive(1);
  await run.turn(SOME_TURNS);
  run.task.post({ type: 'left', exchange: 1 });
  await run.turn(1);
  t.equal(run.passed.length, 1);
  t.same(run.left, [1]);
});

t.test('work waits until no connection is left to accept', async (t) => {
  // A connection accepted in each turn let the work on each delay the accept of the next.
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

t.test('connections without end do not stop the work', async (t) => {
  const run = new ArrivalRun(0);
  run.arrive(1);
  for (let turn = 0; turn < SOME_TURNS; turn += 1) {
    run.task.post({ type: 'accepted' });
    run.clock.advance(5);
    await run.turn(1);
  }
  t.equal(run.passed.length, 1);
});

t.test('newest request is worked on first, and late ones are refused', async (t) => {
  // Requests were worked on in their order, so that under overload each was read after its deadline.
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

t.test('stall alone refuses nobody', async (t) => {
  // A request was refused as late after the process had stood still, though nothing else waited.
  const run = new ArrivalRun(0);
  run.arrive(1, 400);
  await run.turn(1);
  run.clock.advance(300);
  await run.turn(SOME_TURNS);
  t.equal(run.passed.length, 1);
  t.equal(run.replies.length, 0);
});

t.test('work pauses for the sockets', async (t) => {
  const run = new ArrivalRun(15);
  for (let exchange = 1; exchange <= 6; exchange += 1) run.arrive(exchange);
  await run.turn(3);
  t.ok(run.passed.length < 6);
  await run.turn(SOME_TURNS);
  t.equal(run.passed.length, 6);
});

t.test('time before a request is read counts', async (t) => {
  // The admission took a request for new that had waited for seconds.
  const run = new ArrivalRun(0);
  run.task.start();
  await run.turn(SOME_TURNS);
  run.clock.advance(450);
  run.arrive(1, 2_000);
  run.arrive(2, 100);
  await run.turn(SOME_TURNS);
  const byId = new Map(run.passed.map(({ id, arrivedMs }) => [id, arrivedMs]));
  t.equal(byId.get('1'), 250, 'half of the 400 ms that surely passed');
  t.equal(byId.get('2'), 400, 'a caller that waits has not reached its deadline');
  t.equal(run.delays.buckets().sumMicros, 800_000);
  run.arrive(3);
  await run.turn(SOME_TURNS);
  t.equal(run.passed.at(-1)?.arrivedMs, 450);
  run.task.stop();
});

t.test('delay of reading ends only when no connection waits', (t) => {
  const watch = new AcceptWatch(0);
  watch.startTurn(0);
  watch.noteAccepted();
  t.equal(watch.endTurn(), false);
  t.equal(watch.lagMs(1_050), 1_000);
  watch.startTurn(1_050);
  t.equal(watch.endTurn(), true);
  t.equal(watch.lagMs(1_060), 0);
  t.end();
});

t.test('dropped requests are counted in one line a second', async (t) => {
  // A line for each took processor time from those that could be served.
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
