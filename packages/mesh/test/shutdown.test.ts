import t from 'tap';
import { createEntry } from './CreateEntry.js';
import { createRangeTable } from '#ranges/CreateRangeTable.js';
import { createView } from './CreateView.js';
import { EntryRun } from './EntryRun.js';

const END_MS = 3_000;

t.test('request accepted during a shutdown is due before its end', async (t) => {
  // It was sent on with its own deadline, and cut without a reply when the process ended.
  const run = new EntryRun(createView([createEntry('a')], { idempotent: false, timeoutMs: 20_000 }));
  run.task.post({ type: 'leaving', untilMs: run.clock.monotonicMs() + END_MS });
  await run.arrive('1');
  t.ok((run.sent[0]?.request.dueMs ?? Infinity) <= END_MS, 'the server is told the earlier deadline');
  await run.advance(END_MS);
  t.match(run.replies, [{ status: 504 }]);
});

t.test('request under way gets a reply at the end of a shutdown', async (t) => {
  const run = new EntryRun(createView([createEntry('a')], { idempotent: false, timeoutMs: 20_000 }));
  await run.arrive('1');
  run.task.post({ type: 'ending' });
  await run.settle();
  t.match(run.replies, [{ status: 504, code: 'stopping' }], 'it may have run');
  t.same(run.cancelled, ['1']);
  t.equal(run.task.load, 0);
});

t.test('request that waits for its owner is refused as not run at the end of a shutdown', async (t) => {
  const table = createRangeTable('s', [{ serverId: 'gone', term: 1, incarnation: 'x' }]);
  const run = new EntryRun(createView([createEntry('a')], {}, table));
  await run.arrive('1', 5);
  t.equal(run.replies.length, 0);
  run.task.post({ type: 'ending' });
  await run.settle();
  t.match(run.replies, [{ status: 503 }]);
});
