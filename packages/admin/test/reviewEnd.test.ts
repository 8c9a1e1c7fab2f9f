import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { AdminTask } from '#admin/AdminTask.js';
import { SystemClock } from '#core/SystemClock.js';
import { FakeAdminBackend } from './FakeAdminBackend.js';

/** More than the buffers of the kernel on both sides. */
const LARGE_BYTES = 20 * 1024 * 1024;

class LargeBackend extends FakeAdminBackend {
  public override async readStatus(): ReturnType<FakeAdminBackend['readStatus']> {
    return { ...(await super.readStatus()), ...{ padding: 'x'.repeat(LARGE_BYTES) } };
  }
}

t.test('stop of the API does not cut a response that waits to be written', async (t) => {
  // `closeIdleConnections` takes a connection for idle once its response was handed over.
  const task = new AdminTask(
    new LargeBackend(),
    { host: '127.0.0.1', port: 0, fleetKey: 'first-key' },
    new SystemClock(),
  );
  t.teardown(() => task.stop());
  const port = (await task.start()).unsafeCoerce();
  const socket = connect({ port, host: '127.0.0.1' });
  t.teardown(() => socket.destroy());
  let bytes = 0;
  let head = '';
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (head === '') {
      head = chunk.toString('latin1', 0, 60);
      socket.pause();
    }
  });
  socket.write('GET /admin/v1/status HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer token-operators\r\n\r\n');
  while (head === '') await sleep(5);
  task.stop();
  await sleep(50);
  socket.resume();
  for (let waits = 0; waits < 100 && bytes < LARGE_BYTES && !socket.destroyed; waits += 1) await sleep(20);
  t.ok(bytes > LARGE_BYTES, `${bytes} of ${LARGE_BYTES} bytes, ${head}`);
});
