import t from 'tap';
import { Logger } from '#core/Logger.js';
import { ManualClock } from '#core/ManualClock.js';
import { createRangeTable } from '#ranges/CreateRangeTable.js';
import type { BalanceFacts } from '#mesh/BalanceFacts.js';
import { BalanceTask } from '#mesh/BalanceTask.js';
import { chooseReceiver } from '#mesh/ChooseReceiver.js';
import type { LeaseFacts } from '#mesh/LeaseFacts.js';
import type { ReleaseRequest } from '#mesh/ReleaseRequest.js';
import { ShortKinds } from '#mesh/ShortKinds.js';
import { createEntry } from './CreateEntry.js';
import { createView } from './CreateView.js';

function facts(serverId: string, change: Partial<BalanceFacts> = {}): BalanceFacts {
  return { serverId, workMsPerSecond: 0, slots: 4, waitMs: 0, accepts: true, ...change };
}

t.test('least loaded owner receives', (t) => {
  const own = facts('a', { workMsPerSecond: 4_000, waitMs: 200 });
  const others = [
    facts('b', { workMsPerSecond: 2_000 }),
    facts('c', { workMsPerSecond: 400 }),
    facts('d', { accepts: false }),
  ];
  t.match(chooseReceiver(own, others), { to: 'c' });
  t.equal(chooseReceiver(own, [facts('b', { workMsPerSecond: 6_000 })]), undefined, 'none is less loaded');
  t.equal(chooseReceiver(own, []), undefined);
  t.end();
});

t.test('calls between services are short', (t) => {
  const kinds = new ShortKinds();
  for (let index = 0; index < 20; index += 1) {
    kinds.note(300);
    kinds.note(60);
  }
  // A rare probe with a long target must not make all others short.
  kinds.note(1_000);
  t.equal(kinds.note(60), true);
  t.equal(kinds.note(200), false);
  t.equal(kinds.note(300), false);
  t.end();
});

t.test('short slowdown moves no keys', async (t) => {
  const clock = new ManualClock();
  const released: ReleaseRequest[] = [];
  const task = new BalanceTask({
    place: { serverId: 'a', failureDomain: 'd', region: 'r', service: 's' },
    clock,
    logger: new Logger('test'),
    call: (_address, _method, _params, reply) => reply(facts('b')),
    onRelease: (request) => released.push(request),
  });
  const table = createRangeTable('s', [{ serverId: 'a', term: 1, incarnation: 'a/1' }]);
  const own: LeaseFacts = {
    incarnation: 'a/1',
    workMsPerSecond: 1_000,
    slots: 4,
    accepts: true,
    mayRelease: true,
  };
  const load = { running: 4, queued: 4, slots: 4, waitMs: 300, serviceMs: 60, slowdown: 1 };
  task.post({ type: 'view', view: createView([createEntry('a'), createEntry('b')], {}, table) });
  clock.advance(5_000);
  task.post({ type: 'load', load: { ...load, waitMs: 0 } });
  await Promise.resolve();
  clock.advance(50);
  task.post({ type: 'load', load });
  task.post({ type: 'facts', facts: own });
  for (let index = 0; index < 5; index += 1) await Promise.resolve();
  t.equal(released.length, 0, 'one long wait is not enough');
  for (let index = 0; index < 10; index += 1) {
    clock.advance(100);
    task.post({ type: 'load', load });
    await Promise.resolve();
  }
  task.post({ type: 'facts', facts: own });
  for (let index = 0; index < 5; index += 1) await Promise.resolve();
  t.match(released, [{ to: 'b' }]);
});
