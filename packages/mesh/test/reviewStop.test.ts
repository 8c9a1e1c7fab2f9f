import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { startNode } from './StartNode.js';

const GRACE_MS = 10_000;

/** Time of the notice to callers, with the last replies and a margin. */
const EARLY_END_MS = 4_000;

const CHECK_INTERVAL_MS = 50;

/** Whether a daemon accepts sessions of others; at the end of a stop, before it resigns its lease, it does not. */
function isAccepting(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket: Socket = connect(port, '127.0.0.1');
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });
}

t.test(
  'caller that does not close its side does not delay the resignation',
  { timeout: 40_000 },
  async (t) => {
    // A connection whose last response was written counts as load for 5 s, and the lease is resigned only without load.
    const { node, peers, callers } = await startNode(t, GRACE_MS, () => undefined);
    const socket = connect({ ...callers, allowHalfOpen: true });
    t.teardown(() => socket.destroy());
    let text = '';
    let hasEnded = false;
    socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
    socket.on('end', () => (hasEnded = true));
    const startMs = performance.now();
    const stopped = node.stop();
    await sleep(2_000);
    socket.write('GET /p HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\n\r\n');
    await sleep(100);
    t.ok(hasEnded, `the caller has the response and the end: ${text.slice(0, 20)}`);
    while (await isAccepting(peers.port)) await sleep(CHECK_INTERVAL_MS);
    const endingMs = Math.round(performance.now() - startMs);
    await stopped;
    t.comment(`the stop ended after ${Math.round(performance.now() - startMs)} ms`);
    t.ok(endingMs < EARLY_END_MS, `the daemon begins to resign after ${endingMs} ms`);
  },
);
