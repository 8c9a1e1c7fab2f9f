import { connect } from 'node:net';
import type { Socket } from 'node:net';
import t, { type Test } from 'tap';
import { postOrder } from './PostOrder.js';
import { TestNode } from './TestNode.js';
import { waitUntil } from './WaitUntil.js';

const HEAD = 'HTTP/1.1 200 OK\r\nX-A: b\r\n';

const answers: Readonly<Record<string, string>> = {
  'sized answer': `${HEAD}Content-Length: 2\r\n\r\nok`,
  'chunked answer': `${HEAD}Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\n\r\n`,
  'last chunked answer': `${HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
  'head without a length': `${HEAD}Connection: close\r\n\r\n`,
  'answer without a body': 'HTTP/1.1 204 No\r\nX-A: b\r\n\r\n',
  'interim answer': `HTTP/1.1 103 Early\r\nLink: a\r\n\r\n${HEAD}Content-Length: 2\r\n\r\nok`,
};

const ends: Readonly<Record<string, (socket: Socket | null) => void>> = {
  closed: (socket) => socket?.end(),
  reset: (socket) => socket?.resetAndDestroy(),
};

async function startOwner(t: Test): Promise<TestNode> {
  const node = await new TestNode().start();
  t.teardown(() => node.stop());
  node.own();
  return node;
}

for (const [name, answer] of Object.entries(answers)) {
  for (const [how, end] of Object.entries(ends)) {
    t.test(`${name} that is ${how} early is no answer`, async (t) => {
      const node = await startOwner(t);
      const unnoticed: string[] = [];
      for (let cut = 0; cut < answer.length; cut += 1) {
        node.backend.answer = ({ res: { socket } }) =>
          socket?.write(cut === 0 ? '\r\n' : answer.slice(0, cut), () => end(socket));
        const order = postOrder(node, `order-${cut}`);
        await waitUntil('the order ended', () => order.end() !== undefined);
        if (order.end() !== 'unknown: backendLost') unnoticed.push(`${order.end()} after ${cut} bytes`);
      }
      t.same(unnoticed, []);
    });
  }
}

t.test('reset answer without a length is no answer', async (t) => {
  // The library takes a reset for the end of an answer that ends with its connection.
  const node = await startOwner(t);
  node.backend.answer = ({ res: { socket } }) => {
    socket?.write(`${HEAD}Connection: close\r\n\r\npart`);
    setTimeout(() => socket?.resetAndDestroy(), 30);
  };
  const order = postOrder(node, 'order');
  await waitUntil('the order ended', () => order.end() !== undefined);
  t.equal(order.end(), 'unknown: backendLost');
});

t.test('broken answer does not end like a whole one without a length', async (t) => {
  // A caller that speaks HTTP/1.0 has no other sign of the end than that of the connection.
  const node = await startOwner(t);
  node.backend.answer = ({ res: { socket } }) => {
    socket?.write(`${HEAD}Content-Length: 9\r\n\r\npart`);
    setTimeout(() => socket?.destroy(), 30);
  };
  const caller = connect(node.port, '127.0.0.1');
  const events: string[] = [];
  caller.on('data', (chunk) => events.push(chunk.toString().includes('part') ? 'part' : 'other'));
  caller.on('end', () => events.push('end'));
  caller.on('error', () => events.push('error'));
  caller.write('GET /v1/badges/x HTTP/1.0\r\namr-team: alpha\r\namr-class: look\r\namr-key: k\r\n\r\n');
  await waitUntil('the connection closes', () => caller.destroyed);
  t.same(events, ['part', 'error']);
});
