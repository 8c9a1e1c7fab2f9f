import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import type { Fleet } from '#load/Fleet.js';
import { PipeliningCaller } from './PipeliningCaller.js';
import { sendRequest } from './SendRequest.js';
import { startFleet } from './StartFleet.js';
import { waitFor } from './WaitFor.js';

const KIB = 1024;

const SEND_INTERVAL_MS = 3;

/** Time for which slow readers read nothing; below the deadline of their requests. */
const PAUSE_MS = 2_500;

/** Connects callers to the daemon `d1` and waits until each of them is served. */
async function connectCallers(fleet: Fleet, count: number): Promise<readonly PipeliningCaller[]> {
  const isServed = async (): Promise<boolean> =>
    (await sendRequest(fleet, 'd1', 'k', 'look?rid=probe')).status === 200;
  await waitFor('requests are served', isServed);
  const callers = Array.from({ length: count }, () => new PipeliningCaller(fleet, 'd1'));
  for (const [index, caller] of callers.entries()) caller.send(`first-${index}`, 1);
  await waitFor('callers are served', () => callers.every(({ responses }) => responses === 1));
  return callers;
}

/** Requests that ran and have no complete response, once the daemon has ended and all connections are closed. */
async function listLost(fleet: Fleet, callers: readonly PipeliningCaller[]): Promise<readonly string[]> {
  await fleet.waitDaemonEnd('d1');
  await waitFor('connections are closed', () => callers.every(({ socket }) => socket.destroyed));
  const ran = new Set(fleet.readRecords().map(({ requestId }) => requestId));
  return callers.flatMap(({ unanswered }) => unanswered.filter((rid) => ran.has(rid)));
}

t.test('pipelined requests during a stop are answered', async (t) => {
  // The first response after a SIGTERM closed its connection, with later requests at work.
  const fleet = await startFleet(3);
  t.teardown(() => fleet.stop());
  const [caller] = await connectCallers(fleet, 1);
  fleet.signal('d1', 'SIGTERM', 'daemon');
  await sleep(50);
  caller!.socket.cork();
  for (let count = 0; count < 6; count += 1) caller!.send(`behind-${count}`, 100);
  caller!.socket.uncork();
  t.same(await listLost(fleet, [caller!]), []);
  t.same(caller!.unanswered, []);
});

t.test('caller that sends on during a stop loses no response', async (t) => {
  // The daemon closed connections on which callers sent, and the reset destroyed responses in the kernel's buffers.
  const fleet = await startFleet(3);
  t.teardown(() => fleet.stop());
  const callers = await connectCallers(fleet, 8);
  const senders = callers.map((caller, index) => {
    let count = 0;
    return setInterval(() => {
      count += 1;
      caller.send(`on-${index}-${count}`, 50 * KIB);
    }, SEND_INTERVAL_MS);
  });
  t.teardown(() => senders.forEach((sender) => clearInterval(sender)));
  await sleep(300);
  fleet.signal('d1', 'SIGTERM', 'daemon');
  t.same(await listLost(fleet, callers), []);
});

t.test('slow readers get their whole responses during a stop', async (t) => {
  // Connections whose response was handed over, but not sent, were closed as idle.
  const fleet = await startFleet(3);
  t.teardown(() => fleet.stop());
  const callers = await connectCallers(fleet, 12);
  for (const [index, caller] of callers.entries()) {
    caller.socket.pause();
    caller.send(`slow-${index}`, (index + 1) * 200 * KIB);
  }
  await sleep(300);
  fleet.signal('d1', 'SIGTERM', 'daemon');
  await sleep(PAUSE_MS);
  for (const [index, caller] of callers.entries()) caller.send(`next-${index}`, 1);
  await sleep(50);
  for (const caller of callers) caller.socket.resume();
  t.same(await listLost(fleet, callers), []);
});
