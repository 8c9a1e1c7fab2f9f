import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Logger } from '#core/Logger.js';
import { SystemClock } from '#core/SystemClock.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import { CallerTask } from '#mesh/CallerTask.js';
import { findFreePort } from './FindFreePort.js';
import { testHeaders } from './TestHeaders.js';

const WAIT_MS = 5_000;

const CHECK_INTERVAL_MS = 2;

interface Teardown {
  readonly teardown: (close: () => unknown) => void;
}

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

/** A `CallerTask` whose requests wait for the test to reply, and callers with raw connections. */
export class CallerRun {
  public readonly forwarded: Forwarded[] = [];
  private readonly t: Teardown;

  private constructor(
    t: Teardown,
    public readonly port: number,
    public readonly task: CallerTask,
  ) {
    this.t = t;
  }

  /** Starts the task on a free port. */
  public static async start(t: Teardown): Promise<CallerRun> {
    const port = await findFreePort();
    const task: CallerTask = new CallerTask({
      host: '127.0.0.1',
      port,
      headers: testHeaders,
      clock: new SystemClock(),
      logger: new Logger('test'),
      onAccepted: () => undefined,
      onRequest: (_exchange, request, reply) => run.forwarded.push({ request, reply }),
      onLeft: () => undefined,
    });
    const run = new CallerRun(t, port, task);
    await task.listen();
    t.teardown(() => task.stop());
    return run;
  }

  /** Connects a caller that sends `text`. */
  public send(text: string): Caller {
    const socket = connect({ port: this.port, host: '127.0.0.1', noDelay: true });
    let received = '';
    let error = '';
    socket.on('data', (chunk) => (received += chunk.toString('latin1')));
    socket.on('error', (err: NodeJS.ErrnoException) => (error = err.code ?? err.message));
    socket.write(text, 'latin1');
    this.t.teardown(() => socket.destroy());
    return { socket, text: () => received, error: () => error };
  }

  /** Replies to a forwarded request with a body of `bytes` bytes. */
  public respond(index: number, bytes = 2): void {
    const body = Buffer.alloc(bytes, 'x');
    this.forwarded[index]?.reply({ type: 'answer', response: { status: 200, headers: [], body } });
  }

  /** Waits until a condition holds or 5 s have passed. */
  public async until(condition: () => boolean): Promise<void> {
    const endMs = performance.now() + WAIT_MS;
    while (!condition() && performance.now() < endMs) await sleep(CHECK_INTERVAL_MS);
  }
}
