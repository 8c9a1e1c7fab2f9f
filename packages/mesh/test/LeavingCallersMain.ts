// Worker thread: callers send a request and close the connection at once, half of them with a reset; a last
// caller stays
// connected. Sets `left` to 1 when the others are gone, so that a test can block its event loop until then.
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
