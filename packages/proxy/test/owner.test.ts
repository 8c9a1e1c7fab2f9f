import t, { type Test } from 'tap';
import type { Cell } from '#assignment/Cell.js';
import { findShard } from '#assignment/FindShard.js';
import type { ShardRecords } from '#once/ShardRecords.js';
import { postRequest } from './PostRequest.js';
import { sendRequest } from './SendRequest.js';
import { TestNode } from './TestNode.js';
import { waitUntil } from './WaitUntil.js';

const LEASE_MS = 60_000;

async function startOwner(t: Test, checksToken = true): Promise<TestNode> {
  const node = await new TestNode('d1', checksToken).start();
  t.teardown(() => node.stop());
  return node;
}

async function learnEpoch(node: TestNode): Promise<string> {
  return (await sendRequest(node.port, { 'amr-class': 'pay', 'idempotency-key': 'x' }, 'levy')).epoch;
}

/** Removes the shard of the key `k` from the ownership and releases it, as the move task does. */
function release(node: TestNode, cell: Cell): Promise<ShardRecords> {
  const shardId = findShard(cell, '*', 'k')!.shardId;
  node.grant(cell, LEASE_MS, shardId);
  return node.path.owner.ask<ShardRecords>((reply) => ({ type: 'release', shardId, reply }));
}

t.test('lease ends while a request waits', async (t) => {
  // Another daemon may own the shard by the time the request would start.
  const node = await startOwner(t);
  node.own(400);
  const leaseEndMs = node.clock.monotonicMs() + 400;
  node.backend.respond = () => undefined;
  // A cold backend server gets one request at a time.
  const first = postRequest(node, 'o1');
  await waitUntil('the first request runs', () => node.backend.runs.length === 1);
  const second = postRequest(node, 'o2');
  await waitUntil('the lease has ended', () => node.clock.monotonicMs() > leaseEndMs);
  node.backend.runs[0]?.res.end('done');
  await waitUntil('both requests ended', () => first.end() !== undefined && second.end() !== undefined);
  t.equal(first.end(), '');
  t.equal(second.end(), 'not run: leaseExpired');
  t.equal(node.backend.runs.length, 1);
});

t.test('deadline without token check', async (t) => {
  // A backend server that checks no fencing token would run a delayed request after the lease has ended, unless the
  // deadline is capped at the lease end.
  const node = await startOwner(t, false);
  node.own(5_000);
  const latestEndMs = Date.now() + 5_000;
  const request = postRequest(node, 'o1');
  await waitUntil('the request ended', () => request.end() !== undefined);
  const deadlineAtMs = Number(node.backend.runs[0]?.req.headers['amr-deadline-at']);
  t.ok(deadlineAtMs <= latestEndMs, `${deadlineAtMs - latestEndMs} ms after the lease`);
  t.ok(deadlineAtMs > latestEndMs - 5_000);
});

t.test('shard under release', async (t) => {
  // A request that is admitted after the records of its shard were handed over would be unknown to the new owner.
  const node = await startOwner(t);
  const cell = node.own();
  const epoch = await learnEpoch(node);
  node.backend.respond = () => undefined;
  const running = postRequest(node, 'o1', epoch, 'i1');
  await waitUntil('the request runs', () => node.backend.runs.length === 1);
  const waiting = postRequest(node, 'o2', epoch, 'i2');
  const released = release(node, cell);
  let isReleased = false;
  void released.then(() => (isReleased = true));
  const later = postRequest(node, 'o3', epoch, 'i3');
  await waitUntil('the others are refused', () => waiting.end() !== undefined && later.end() !== undefined);
  t.equal(waiting.end(), 'not run: shardMoving');
  t.match(later.end(), /^not run: (shardMoving|notOwner)$/);
  t.notOk(isReleased, 'a request still runs');
  node.backend.runs[0]?.res.end('receipt 17');
  const { records } = await released;
  t.equal(running.end(), '');
  const answers = records.map(({ id, answer }) => [id, Buffer.from(answer, 'base64').toString()]);
  t.same(answers, [['i1', 'receipt 17']]);
  t.equal(node.backend.runs.length, 1);
});

t.test('records arrive at the new owner', async (t) => {
  // A repeat of an id that the new owner does not know would run a second time.
  const [from, to] = [await startOwner(t), await startOwner(t)];
  const cell = from.own();
  const epoch = await learnEpoch(from);
  const first = postRequest(from, 'o1', epoch, 'i1');
  await waitUntil('the request ended', () => first.end() === '');
  to.path.apply({ type: 'adopt', records: await release(from, cell) });
  to.own(LEASE_MS, 2);
  const repeat = postRequest(to, 'o2', epoch, 'i1');
  await waitUntil('the repeat is answered', () => repeat.end() === '');
  t.match(repeat.events[1], { type: 'data', chunk: Buffer.from('done levy') });
  t.equal(to.backend.runs.length, 0);
});

t.test('records are kept after a move that was not accepted', async (t) => {
  // The owner of the shard stays the same and must still recognize repeats.
  const node = await startOwner(t);
  const cell = node.own();
  const epoch = await learnEpoch(node);
  const first = postRequest(node, 'o1', epoch, 'i1');
  await waitUntil('the request ended', () => first.end() === '');
  await release(node, cell);
  node.grant(cell, LEASE_MS);
  const repeat = postRequest(node, 'o2', epoch, 'i1');
  await waitUntil('the repeat is answered', () => repeat.end() === '');
  const other = postRequest(node, 'o3', epoch, 'i2');
  await waitUntil('another request runs', () => other.end() === '');
  t.equal(node.backend.runs.length, 2);
});

t.test('drain', async (t) => {
  // A graceful shutdown must not interrupt running requests, nor start waiting ones.
  const node = await startOwner(t);
  node.own();
  node.backend.respond = () => undefined;
  const running = postRequest(node, 'o1');
  await waitUntil('the request runs', () => node.backend.runs.length === 1);
  const waiting = postRequest(node, 'o2');
  const drained = node.path.owner.ask<undefined>((reply) => ({
    type: 'drain',
    reply: () => reply(undefined),
  }));
  await waitUntil('the waiting request is refused', () => waiting.end() !== undefined);
  t.match(waiting.end(), /^not run: /);
  t.equal(running.end(), undefined);
  node.backend.runs[0]?.res.end('done');
  await drained;
  await waitUntil('the running request is completed', () => running.end() === '');
  const late = postRequest(node, 'o3');
  await waitUntil('a later request is refused', () => late.end() !== undefined);
  t.match(late.end(), /^not run: /);
  t.equal(node.backend.runs.length, 1);
});

t.test('request in flight at two crashes is held', async (t) => {
  // A request that crashes every server that runs it would take them down one after the other.
  const node = await startOwner(t);
  node.own();
  node.backend.respond = () => undefined;
  for (const crash of [1, 2]) {
    const request = postRequest(node, `o${crash}`);
    await waitUntil('the request runs', () => node.backend.runs.length === crash);
    node.backend.crash();
    await waitUntil('the request is lost', () => request.end() !== undefined);
    t.match(request.end(), /^unknown: /);
    await node.backend.comeBack();
    await waitUntil('the crash is marked', () => node.marks.length === crash);
    await waitUntil('the new process is known', async () => {
      const { backend } = await node.report();
      return backend?.incarnation === `p${crash + 1}`;
    });
  }
  const held = postRequest(node, 'o3');
  await waitUntil('the request is held', () => held.end() !== undefined);
  t.equal(held.end(), 'not run: quarantined');
  t.equal(node.backend.runs.length, 2);
});
