// Callers that send a request and leave at once, half of them with a reset, and one that stays. Sets the cell `left` when
// all have left, so that a test can stand still until then.
import { connect, type Socket } from 'node:net';
import { workerData } from 'node:worker_threads';

const { port, left, leavers } = workerData as {
  readonly port: number;
  readonly left: Int32Array;
  readonly leavers: number;
};

function open(id: string): Promise<Socket> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    socket.write(`GET / HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ${id}\r\n\r\n`, () => resolve(socket));
  });
}

for (let index = 0; index < leavers; index += 1) {
  const socket = await open(`leaver-${index}`);
  const closed = new Promise((resolve) => socket.once('close', resolve));
  if (index % 2 === 0) socket.destroy();
  else socket.resetAndDestroy();
  await closed;
}
await open('stays');
Atomics.store(left, 0, 1);
Atomics.notify(left, 0);
