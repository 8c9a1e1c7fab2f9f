import fc from 'fast-check';
import t from 'tap';
import { BackendQueue } from '#admission/BackendQueue.js';
import { FairDiscipline } from '#admission/FairDiscipline.js';
import { FifoDiscipline } from '#admission/FifoDiscipline.js';
import { PriorityDiscipline } from '#admission/PriorityDiscipline.js';
import type { QueuedRequest } from '#admission/QueuedRequest.js';
import type { QueueResult } from '#admission/QueueResult.js';

const SEED = Number(process.env.SEED ?? 20261204);
t.comment(`seed ${SEED}`);

function request(id: string, fields: Partial<QueuedRequest> = {}): QueuedRequest {
  const plain = { team: 'a', class: 'c', priority: 5, share: 1, deadlineMs: 1e9, exclusive: false };
  return { id, ...plain, ...fields };
}

function createQueue(limit: number, maxWaiting = 100): BackendQueue {
  return new BackendQueue(new PriorityDiscipline(() => new FairDiscipline()), limit, maxWaiting);
}

/** Creates a queue with one slot, a measured service time of 10 ms and the running request `first`. */
function createBusyQueue(maxWaiting = 100): BackendQueue {
  const queue = createQueue(1, maxWaiting);
  queue.arrive(request('warm'), -10);
  queue.finish('warm', 0);
  queue.arrive(request('first'), 0);
  return queue;
}

function started(results: readonly QueueResult[]): readonly string[] {
  return results.filter(({ kind }) => kind === 'start').map(({ id }) => id);
}

/** Finishes one request after another and returns the ids of the waiting requests in the order of their start. */
function runAll(queue: BackendQueue, first: string, startMs = 0): readonly string[] {
  const startedIds: string[] = [];
  let nowMs = startMs;
  for (let id: string | undefined = first; id !== undefined;) {
    nowMs += 10;
    [id] = started(queue.finish(id, nowMs));
    if (id !== undefined) startedIds.push(id);
  }
  return startedIds;
}

// Guards against more running requests at a backend server than its limit.
t.test('limit holds', (t) => {
  const queue = createQueue(2);
  for (const id of ['a', 'b']) t.same(started(queue.arrive(request(id), 0)), [id]);
  t.same(queue.arrive(request('c'), 0), []);
  t.same(started(queue.setLimit(3, 1)), ['c']);
  queue.setLimit(1, 1);
  queue.arrive(request('d'), 1);
  t.same(queue.finish('a', 2), []);
  t.same(queue.finish('b', 2), []);
  t.same(started(queue.finish('c', 2)), ['d']);
  t.same(queue.finish('c', 3), [], 'a second end has no effect');
  t.end();
});

// Guards against background requests that delay urgent ones.
t.test('priority first', (t) => {
  const queue = createBusyQueue();
  queue.arrive(request('low', { priority: 9 }), 0);
  queue.arrive(request('high', { priority: 0 }), 0);
  queue.arrive(request('mid'), 0);
  t.same(runAll(queue, 'first'), ['high', 'mid', 'low']);
  t.end();
});

// Guards against a team that takes the slots of others by sending more.
t.test('weighted fair order', (t) => {
  const queue = createBusyQueue();
  for (let index = 0; index < 12; index += 1) queue.arrive(request(`a${index}`), 0);
  for (let index = 0; index < 8; index += 1) queue.arrive(request(`b${index}`, { team: 'b', share: 2 }), 0);
  const order = runAll(queue, 'first');
  const ofB = order.slice(0, 9).filter((id) => id.startsWith('b')).length;
  t.equal(order.length, 20);
  t.ok(ofB >= 5 && ofB <= 7, `${ofB} of 9 at two thirds of the share`);
  t.end();
});

// Guards against a team that does not get its share back after an idle time, or that accumulates credit while idle.
t.test('unused share is lent', (t) => {
  const queue = createBusyQueue();
  for (let index = 0; index < 50; index += 1) queue.arrive(request(`a${index}`), 0);
  let id = 'first';
  for (let nowMs = 10; nowMs <= 200; nowMs += 10) [id = ''] = started(queue.finish(id, nowMs));
  t.equal(id, 'a19', 'the idle share of others is lent');
  for (let index = 0; index < 20; index += 1) queue.arrive(request(`b${index}`, { team: 'b' }), 200);
  const next = runAll(queue, id, 200).slice(0, 10);
  const ofB = next.filter((name) => name.startsWith('b')).length;
  t.ok(ofB >= 5 && ofB <= 6, `${ofB} of 10 after its return`);
  t.end();
});

// Guards against a team that gets more slot time than its share because its requests are slow.
t.test('fair by service time', (t) => {
  const queue = createQueue(1);
  const used = { a: 0, b: 0 };
  const costs = { a: 40, b: 10 };
  let running: string | undefined;
  let nowMs = 0;
  for (let index = 0; index < 400; index += 1) {
    for (const team of ['a', 'b'] as const) {
      const result = started(queue.arrive(request(`${team}${index}`, { team, class: team }), nowMs));
      running ??= result[0];
    }
    const team = running!.startsWith('a') ? 'a' : 'b';
    nowMs += costs[team];
    used[team] += costs[team];
    [running] = started(queue.finish(running!, nowMs));
  }
  t.ok(Math.abs(used.a - used.b) <= 80, `${used.a} ms and ${used.b} ms`);
  t.end();
});

// Guards against requests that are queued although they will miss their deadline, and against refusals without a retry
// time.
t.test('refused at once when late', (t) => {
  const queue = createBusyQueue();
  t.same(queue.arrive(request('fits', { deadlineMs: 25 }), 0), []);
  const [refused] = queue.arrive(request('late', { deadlineMs: 25 }), 0);
  t.match(refused, {
    kind: 'refuse',
    error: { ran: 'not run', code: 'deadlineUnreachable', retryAfterMs: 5 },
  });
  t.same(
    queue.arrive(request('urgent', { deadlineMs: 25, priority: 0 }), 0),
    [],
    'it starts before the other',
  );
  t.match(queue.finish('first', 10), [{ kind: 'start', id: 'urgent' }]);
  t.match(queue.finish('urgent', 20), [{ kind: 'refuse', id: 'fits' }], 'displaced past its deadline');
  t.end();
});

// Guards against requests that stay in the queue after their deadline can no longer be met.
t.test('expire and cancel', (t) => {
  const queue = createBusyQueue();
  queue.arrive(request('two'), 0);
  queue.arrive(request('one', { deadlineMs: 35 }), 0);
  t.same(queue.expire(25), []);
  t.match(queue.expire(26), [{ kind: 'refuse', id: 'one', error: { ran: 'not run' } }]);
  t.ok(queue.cancel('two'));
  t.notOk(queue.cancel('two'));
  t.equal(queue.waitingCount, 0);
  t.end();
});

// Guards against a server that gets no more requests because one slow period raised the expected service time.
t.test('idle server takes a trial', (t) => {
  const queue = createQueue(1);
  queue.arrive(request('slow'), 0);
  queue.finish('slow', 5_000);
  t.same(started(queue.arrive(request('next', { deadlineMs: 5_100 }), 5_000)), ['next']);
  t.match(queue.arrive(request('other', { deadlineMs: 5_100 }), 5_000), [{ kind: 'refuse' }]);
  t.end();
});

// Guards against a request with a crash mark that breaks other requests with the server that it crashes.
t.test('exclusive runs alone', (t) => {
  const queue = createQueue(3);
  queue.arrive(request('a'), 0);
  t.same(queue.arrive(request('alone', { exclusive: true }), 0), []);
  t.same(queue.arrive(request('b', { team: 'b', priority: 6 }), 0), [], 'nothing overtakes it');
  t.same(started(queue.finish('a', 1)), ['alone']);
  t.same(queue.arrive(request('c'), 1), []);
  t.same(started(queue.finish('alone', 2)), ['c', 'b']);
  for (const id of ['c', 'b']) queue.finish(id, 12);
  queue.arrive(request('second', { exclusive: true }), 12);
  t.match(
    queue.arrive(request('late', { deadlineMs: 17 }), 12),
    [{ kind: 'refuse' }],
    'it waits for the exclusive one',
  );
  t.end();
});

// Guards against a flood from one team that fills the queue for all teams.
t.test('full queue refuses the last', (t) => {
  const queue = createBusyQueue(3);
  for (const id of ['a1', 'a2', 'a3']) queue.arrive(request(id), 0);
  t.match(queue.arrive(request('a4'), 0), [{ kind: 'refuse', id: 'a4' }]);
  t.match(queue.arrive(request('b1', { team: 'b' }), 0), [{ kind: 'refuse', id: 'a3' }]);
  t.match(queue.arrive(request('urgent', { priority: 0 }), 0), [{ kind: 'refuse', id: 'a2' }]);
  t.end();
});

// Guards against requests that start during a drain, and against a drain that ends while requests run.
t.test('drain', (t) => {
  const queue = createBusyQueue();
  queue.arrive(request('waiting'), 0);
  t.match(queue.drain(), [{ kind: 'refuse', id: 'waiting', error: { ran: 'not run', code: 'draining' } }]);
  t.match(queue.arrive(request('new'), 0), [{ kind: 'refuse' }]);
  t.equal(queue.state, 'draining');
  t.same(queue.finish('first', 1), []);
  t.equal(queue.state, 'drained');
  queue.resume();
  t.same(started(queue.arrive(request('new'), 2)), ['new']);
  t.end();
});

// Guards against any order of events that loses a request, ends it twice or exceeds the limit.
t.test('each request ends once', (t) => {
  const step = fc.record({
    kind: fc.constantFrom('arrive', 'arrive', 'arrive', 'finish', 'finish', 'expire', 'cancel', 'limit'),
    team: fc.constantFrom('a', 'b', 'c'),
    priority: fc.nat(2),
    share: fc.integer({ min: 1, max: 3 }),
    budgetMs: fc.integer({ min: 1, max: 200 }),
    exclusive: fc.nat(9).map((value) => value === 0),
    waitMs: fc.nat(20),
  });
  const orders = [
    () => new PriorityDiscipline(() => new FairDiscipline()),
    () => new PriorityDiscipline(() => new FifoDiscipline()),
    () => new FifoDiscipline(),
  ];
  const property = fc.property(fc.array(step, { maxLength: 100 }), fc.nat(2), (steps, index) => {
    const queue = new BackendQueue(orders[index]!(), 3, 5);
    const running = new Map<string, boolean>();
    const waiting = new Map<string, boolean>();
    let nowMs = 0;
    let limit = 3;
    const apply = (results: readonly QueueResult[]): boolean =>
      results.every(({ kind, id }) => {
        const exclusive = waiting.get(id);
        waiting.delete(id);
        if (exclusive === undefined) return false;
        if (kind === 'refuse') return true;
        const alone = running.size === 0 || (!exclusive && ![...running.values()].includes(true));
        running.set(id, exclusive);
        return alone && running.size <= Math.max(1, limit);
      });
    for (const [number, { kind, budgetMs, waitMs, ...fields }] of steps.entries()) {
      const id = `r${number}`;
      const [oldest = ''] = running.keys();
      let good = true;
      nowMs += waitMs;
      if (kind === 'arrive') {
        waiting.set(id, fields.exclusive);
        good = apply(queue.arrive(request(id, { ...fields, deadlineMs: nowMs + budgetMs }), nowMs));
      }
      if (kind === 'finish' && running.delete(oldest)) good = apply(queue.finish(oldest, nowMs));
      if (kind === 'expire') good = apply(queue.expire(nowMs));
      if (kind === 'cancel') for (const name of waiting.keys()) if (queue.cancel(name)) waiting.delete(name);
      if (kind === 'limit') {
        limit = fields.share;
        good = apply(queue.setLimit(limit, nowMs));
      }
      if (!good || queue.runningCount !== running.size || queue.waitingCount !== waiting.size) return false;
      if (waiting.size > 5) return false;
    }
    return true;
  });
  t.doesNotThrow(() => fc.assert(property, { seed: SEED, numRuns: 1_000 }));
  t.end();
});
