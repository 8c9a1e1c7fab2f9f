import type { Socket } from 'node:net';
import t from 'tap';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import { createOrder } from './CreateOrder.js';
import { formatAnswer } from './FormatAnswer.js';
import { formatRefusal } from './FormatRefusal.js';
import { startServerTask } from './StartServerTask.js';

const createLevy = (id: string): BackendRequest => createOrder(id, { idempotent: false });

t.test('order offered again does not meet its earlier refusal', async (t) => {
  // The refusal of the first offer, written once more, ended the second one while it ran.
  for (const slots of [1, 4]) {
    const ran: string[] = [];
    const refusedOn = new Set<number>();
    const { run, announce } = await startServerTask(t, ({ id, socket, connection }) => {
      if (refusedOn.size === 0 || refusedOn.has(connection)) socket.write(formatRefusal('1'));
      if (refusedOn.size > 0) {
        ran.push(id);
        socket.write(formatAnswer(id));
      }
      refusedOn.add(connection);
    });
    announce({ slots });
    t.match(await run(createLevy('1')), { type: 'refused' });
    t.match(await run(createLevy('1')), { type: 'answered' }, `${slots} slots`);
    t.same(ran, ['1']);
  }
});

t.test('order that is refused again and again opens no more connections than slots', async (t) => {
  const { run, server, announce } = await startServerTask(t, ({ id, socket }) =>
    socket.write(formatRefusal(id)),
  );
  announce({ slots: 1 });
  const open = new Set<Socket>();
  let most = 0;
  for (let index = 0; index < 20; index += 1) {
    t.match(await run(createLevy('1')), { type: 'refused', code: 'shed' });
    const { socket } = server.requests[index] ?? {};
    if (socket === undefined || open.has(socket)) continue;
    open.add(socket);
    socket.on('close', () => open.delete(socket));
    most = Math.max(most, open.size);
  }
  t.ok(most <= 4, `${most} connections`);
});

t.test('repeated order does not meet the answer to its first try', async (t) => {
  const earlier = new Map<number, string>();
  let tries = 0;
  const { run } = await startServerTask(t, ({ id, socket, connection }) => {
    tries += 1;
    const answer = formatAnswer(id, '500 No', `answer ${tries}`);
    socket.write(`${earlier.get(connection) ?? ''}${answer}`);
    earlier.set(connection, answer);
  });
  const bodies: string[] = [];
  for (let index = 0; index < 3; index += 1) {
    const result = await run(createOrder('1'));
    bodies.push(result.type === 'answered' ? result.answer.body.toString() : result.type);
  }
  t.same(bodies, ['answer 1', 'answer 2', 'answer 3']);
});

t.test('connection is replaced before it knows too many ids', async (t) => {
  const { run, server, announce } = await startServerTask(t, ({ id, socket }) =>
    socket.write(formatAnswer(id)),
  );
  announce({ slots: 1 });
  for (let index = 0; index < 1_001; index += 1)
    t.match(await run(createOrder(String(index))), { type: 'answered' });
  t.equal(server.connections, 2);
});

t.test('order beside a new run of the instance is not sent to the former one', async (t) => {
  // The connection that was being closed took the order, which ended as lost without having been sent.
  const { run, server, announce } = await startServerTask(t, ({ id, socket }) =>
    socket.write(formatAnswer(id)),
  );
  t.match(await run(createLevy('1')), { type: 'answered' });
  announce({ incarnation: 'i/2' });
  t.match(await run(createLevy('2')), { type: 'answered' });
  t.equal(server.connections, 2);
});
