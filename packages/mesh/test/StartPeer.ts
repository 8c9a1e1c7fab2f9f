import { createServer, type ServerHttp2Session, type ServerHttp2Stream } from 'node:http2';
import { SystemClock } from '#core/SystemClock.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import { RelayTask } from '#mesh/RelayTask.js';
import { RecordingLogger } from './RecordingLogger.js';

interface Teardown {
  readonly teardown: (close: () => unknown) => void;
}

/** Starts a fake daemon that responds with `onStream`, and returns a function that sends a request to it. */
export async function startPeer(
  t: Teardown,
  onStream: (stream: ServerHttp2Stream) => void,
): Promise<(request: BackendRequest) => Promise<BackendResult>> {
  const peer = createServer();
  const sessions = new Set<ServerHttp2Session>();
  peer.on('session', (session) => {
    sessions.add(session);
    session.on('error', () => undefined);
  });
  peer.on('stream', (stream) => {
    stream.on('error', () => undefined);
    onStream(stream);
  });
  await new Promise<void>((resolve) => peer.listen(0, '127.0.0.1', resolve));
  const { port } = peer.address() as { readonly port: number };
  const relay = new RelayTask({
    clock: new SystemClock(),
    logger: new RecordingLogger('test'),
    revisions: () => [],
    onHint: () => undefined,
    onReachability: () => undefined,
  });
  t.teardown(() => {
    relay.stop();
    for (const session of sessions) session.destroy();
    peer.close();
  });
  const address = `127.0.0.1:${port}`;
  return (request) => relay.ask((reply) => ({ type: 'order', request, address, reply }));
}
