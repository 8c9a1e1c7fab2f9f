import type { Socket } from 'node:net';
import t from 'tap';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import { createTestRequest } from './CreateTestRequest.js';
import { formatResponse } from './FormatResponse.js';
import { formatRefusal } from './FormatRefusal.js';
import { startServerTask } from './StartServerTask.js';

const createNonIdempotent = (id: string): BackendRequest => createTestRequest(id, { idempotent: false });

t.test('second attempt of a request ignores the refusal of the first', async (t) => {
  // Guards against a duplicated refusal of the first attempt, which ended the second attempt while it ran.
  for (const slots of [1, 4]) {
    const ran: string[] = [];
    const refusedOn = new Set<number>();
    const { run, announce } = await startServerTask(t, ({ id, socket, connection }) => {
      if (refusedOn.size === 0 || refusedOn.has(connection)) socket.write(formatRefusal('1'));
      if (refusedOn.size > 0) {
        ran.push(id);
        socket.write(formatResponse(id));
      }
      refusedOn.add(connection);
    });
    announce({ slots });
    t.match(await run(createNonIdempotent('1')), { type: 'refused' });
    t.match(await run(createNonIdempotent('1')), { type: 'answered' }, `${slots} slots`);
    t.same(ran, ['1']);
  }
});

t.test('repeatedly refused request keeps the number of connections bounded', async (t) => {
  const { run, server, announce } = await startServerTask(t, ({ id, socket }) =>
    socket.write(formatRefusal(id)),
  );
  announce({ slots: 1 });
  const open = new Set<Socket>();
  let maxOpen = 0;
  for (let index = 0; index < 20; index += 1) {
    t.match(await run(createNonIdempotent('1')), { type: 'refused', code: 'shed' });
    const { socket } = server.requests[index] ?? {};
    if (socket === undefined || open.has(socket)) continue;
    open.add(socket);
    socket.on('close', () => open.delete(socket));
    maxOpen = Math.max(maxOpen, open.size);
  }
  t.ok(maxOpen <= 4, `${maxOpen} connections`);
});

t.test('repeated request does not get the response to an earlier attempt', async (t) => {
  const earlier = new Map<number, string>();
  let tries = 0;
  const { run } = await startServerTask(t, ({ id, socket, connection }) => {
    tries += 1;
    const response = formatResponse(id, '500 No', `answer ${tries}`);
    socket.write(`${earlier.get(connection) ?? ''}${response}`);
    earlier.set(connection, response);
  });
  const bodies: string[] = [];
  for (let index = 0; index < 3; index += 1) {
    const result = await run(createTestRequest('1'));
    bodies.push(result.type === 'answered' ? result.response.body.toString() : result.type);
  }
  t.same(bodies, ['answer 1', 'answer 2', 'answer 3']);
});

t.test('connection is replaced after the maximum number of requests', async (t) => {
  const { run, server, announce } = await startServerTask(t, ({ id, socket }) =>
    socket.write(formatResponse(id)),
  );
  announce({ slots: 1 });
  for (let index = 0; index < 1_001; index += 1)
    t.match(await run(createTestRequest(String(index))), { type: 'answered' });
  t.equal(server.connections, 2);
});

t.test('request after a restart of the server is not sent to its former run', async (t) => {
  // Guards against sending on a connection that is being closed, which ended the request as lost although it was not sent.
  const { run, server, announce } = await startServerTask(t, ({ id, socket }) =>
    socket.write(formatResponse(id)),
  );
  t.match(await run(createNonIdempotent('1')), { type: 'answered' });
  announce({ incarnation: 'i/2' });
  t.match(await run(createNonIdempotent('2')), { type: 'answered' });
  t.equal(server.connections, 2);
});
