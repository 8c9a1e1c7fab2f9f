import { SystemClock } from '#core/SystemClock.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';
import { ReceiverTask } from '#mesh/ReceiverTask.js';
import { findFreePort } from './FindFreePort.js';
import { RecordingLogger } from './RecordingLogger.js';

interface Teardown {
  readonly teardown: (close: () => unknown) => void;
}

/** Starts a `ReceiverTask` that passes its requests to `onRequest`, and returns its address and its logger. */
export async function startReceiver(
  t: Teardown,
  onRequest: (request: BackendRequest, reply: BackendResultCallback) => void,
): Promise<{ readonly address: string; readonly logger: RecordingLogger }> {
  const port = await findFreePort();
  const logger = new RecordingLogger('test');
  const receiver = new ReceiverTask({
    host: '127.0.0.1',
    port,
    clock: new SystemClock(),
    logger,
    onRequest,
    calls: {},
    revisions: () => [],
    onHint: () => undefined,
  });
  await receiver.listen();
  t.teardown(() => receiver.stop());
  return { address: `127.0.0.1:${port}`, logger };
}
