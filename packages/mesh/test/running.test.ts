import t from 'tap';
import { BodyBudget } from '#core/BodyBudget.js';
import { RunningBackendRequests } from '#mesh/RunningBackendRequests.js';
import { ServerLink } from '#mesh/ServerLink.js';
import { createTestRequest } from './CreateTestRequest.js';

const open = (): ServerLink => {
  const link = new ServerLink(
    { address: '127.0.0.1:1', incarnation: 'i/1' },
    'X-Request-Id',
    new BodyBudget(0),
    () => undefined,
  );
  link.destroy();
  return link;
};

t.test('delayed response to an earlier copy does not end a repeated request', (t) => {
  // Guards against a response that waits in the mailbox and is given to another request on the same connection.
  const running = new RunningBackendRequests();
  const [first, second] = [open(), open()];
  const add = (id: string, link: ServerLink): void =>
    running.add({ request: createTestRequest(id), link, sentMs: 0, expectedMs: 0 });
  add('1', first);
  add('2', second);
  add('1', second);
  t.equal(running.take(second, '2')?.request.callerRequest.id, '2');
  t.equal(running.take(first, '1'), undefined, 'the repeated request runs on another connection');
  t.equal(running.take(second, '1')?.request.callerRequest.id, '1');
  t.equal(running.size, 0);
  t.end();
});
