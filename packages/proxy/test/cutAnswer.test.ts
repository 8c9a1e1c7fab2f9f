import { connect } from 'node:net';
import type { Socket } from 'node:net';
import t, { type Test } from 'tap';
import { postRequest } from './PostRequest.js';
import { TestNode } from './TestNode.js';
import { waitUntil } from './WaitUntil.js';

const HEAD = 'HTTP/1.1 200 OK\r\nX-A: b\r\n';

const responses: Readonly<Record<string, string>> = {
  'sized response': `${HEAD}Content-Length: 2\r\n\r\nok`,
  'chunked response': `${HEAD}Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\n\r\n`,
  'last chunked response': `${HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
  'head without a length': `${HEAD}Connection: close\r\n\r\n`,
  'response without a body': 'HTTP/1.1 204 No\r\nX-A: b\r\n\r\n',
  'interim response': `HTTP/1.1 103 Early\r\nLink: a\r\n\r\n${HEAD}Content-Length: 2\r\n\r\nok`,
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

for (const [name, response] of Object.entries(responses)) {
  for (const [how, end] of Object.entries(ends)) {
    t.test(`${name} that is ${how} early is incomplete`, async (t) => {
      const node = await startOwner(t);
      const unnoticed: string[] = [];
      for (let cut = 0; cut < response.length; cut += 1) {
        node.backend.respond = ({ res: { socket } }) =>
          socket?.write(cut === 0 ? '\r\n' : response.slice(0, cut), () => end(socket));
        const request = postRequest(node, `order-${cut}`);
        await waitUntil('the request ended', () => request.end() !== undefined);
        if (request.end() !== 'unknown: backendLost') unnoticed.push(`${request.end()} after ${cut} bytes`);
      }
      t.same(unnoticed, []);
    });
  }
}

t.test('reset response without a length is incomplete', async (t) => {
  // Undici treats a reset as the regular end of a response that ends with its connection.
  const node = await startOwner(t);
  node.backend.respond = ({ res: { socket } }) => {
    socket?.write(`${HEAD}Connection: close\r\n\r\npart`);
    setTimeout(() => socket?.resetAndDestroy(), 30);
  };
  const request = postRequest(node, 'order');
  await waitUntil('the request ended', () => request.end() !== undefined);
  t.equal(request.end(), 'unknown: backendLost');
});

t.test('broken response does not end like a complete one without a length', async (t) => {
  // A caller that speaks HTTP/1.0 recognizes the end of a response only by the end of the connection.
  const node = await startOwner(t);
  node.backend.respond = ({ res: { socket } }) => {
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
