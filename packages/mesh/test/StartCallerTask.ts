import { connect, type Socket } from 'node:net';
import { defaultCallerCapacity } from '#connection/DefaultCallerCapacity.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import { SystemClock } from '#core/SystemClock.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import { CallerTask } from '#mesh/CallerTask.js';
import { findFreePort } from './FindFreePort.js';
import { RecordingLogger } from './RecordingLogger.js';
import { testHeaders } from './TestHeaders.js';

interface Forwarded {
  readonly request: CallerRequest;
  readonly reply: (reply: CallerReply) => void;
}

/** A caller's connection and what was received on it. */
interface Caller {
  readonly socket: Socket;
  readonly text: () => string;
  /** Error code of the connection, or an empty string. */
  readonly error: () => string;
}

interface CallerRun {
  readonly task: CallerTask;
  readonly logger: RecordingLogger;
  readonly forwarded: readonly Forwarded[];
  /** Exchange numbers of requests whose callers left. */
  readonly left: readonly number[];
  /** Connects a caller that sends `text`. */
  readonly send: (text: string) => Caller;
  /** Replies to the request that was forwarded at `index` with a body of `bytes`. */
  readonly respond: (index: number, bytes?: number) => void;
}

/** Starts a `CallerTask` whose requests wait for the test to reply. */
export async function startCallerTask(t: {
  readonly teardown: (close: () => unknown) => void;
}): Promise<CallerRun> {
  const port = await findFreePort();
  const forwarded: Forwarded[] = [];
  const left: number[] = [];
  const logger = new RecordingLogger('test');
  const task = new CallerTask({
    host: '127.0.0.1',
    port,
    headers: testHeaders,
    capacity: defaultCallerCapacity,
    metrics: new MetricsRecorder(),
    clock: new SystemClock(),
    logger,
    onAccepted: () => undefined,
    onRequest: (_exchange, request, reply) => forwarded.push({ request, reply }),
    onLeft: (exchange) => left.push(exchange),
  });
  await task.listen();
  t.teardown(() => task.stop());
  const send = (text: string): Caller => {
    const socket = connect({ port, host: '127.0.0.1', noDelay: true });
    let received = '';
    let error = '';
    socket.on('data', (chunk) => (received += chunk.toString('latin1')));
    socket.on('error', (err: NodeJS.ErrnoException) => (error = err.code ?? err.message));
    socket.write(text, 'latin1');
    t.teardown(() => socket.destroy());
    return { socket, text: () => received, error: () => error };
  };
  const respond = (index: number, bytes = 2): void => {
    const body = Buffer.alloc(bytes, 'x');
    forwarded[index]?.reply({ type: 'answer', response: { status: 200, headers: [], body } });
  };
  return { task, logger, forwarded, left, send, respond };
}
