import type { Test } from 'tap';
import { AdminTask } from '#admin/AdminTask.js';
import { SystemClock } from '#core/SystemClock.js';
import { FakeAdminBackend } from './FakeAdminBackend.js';

/** Starts an administration API on loopback that stops when the test ends; the fleet key is `first-key`. */
export async function startAdmin(
  t: Pick<Test, 'teardown'>,
  backend: FakeAdminBackend = new FakeAdminBackend(),
): Promise<{ readonly backend: FakeAdminBackend; readonly url: string }> {
  const options = { host: '127.0.0.1', port: 0, fleetKey: 'first-key' };
  const task = new AdminTask(backend, options, new SystemClock());
  t.teardown(() => task.stop());
  const port = (await task.start()).unsafeCoerce();
  return { backend, url: `http://127.0.0.1:${port}` };
}
