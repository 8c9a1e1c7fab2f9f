import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { listResponses } from '../../mesh/test/ListResponses.js';
import { connect } from 'node:net';
import type { Fleet } from '#load/Fleet.js';
import { sendRequest } from './SendRequest.js';
import { startFleet } from './StartFleet.js';
import { waitFor } from './WaitFor.js';

const LARGE_BYTES = 7 * 1024 * 1024;

/** Starts a fleet, and a caller that has begun to read a large response. */
async function start(t: {
  readonly teardown: (close: () => unknown) => void;
}): Promise<{ readonly fleet: Fleet; readonly finish: () => Promise<string | undefined> }> {
  const fleet = await startFleet(3);
  t.teardown(() => fleet.stop());
  const isServed = async (): Promise<boolean> =>
    (await sendRequest(fleet, 'd1', 'k', 'look?rid=probe')).status === 200;
  await waitFor('requests are served', isServed);
  const { hostname, port } = new URL(fleet.callerUrl('d1'));
  const socket = connect(Number(port), hostname);
  t.teardown(() => socket.destroy());
  let text = '';
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => {
    if (text === '') socket.pause();
    text += chunk.toString('latin1');
  });
  socket.write(
    `GET /v1/badges/look?rid=large&bytes=${LARGE_BYTES} HTTP/1.1\r\nhost: x\r\namr-team: alpha\r\namr-class: look\r\n` +
      'amr-key: k\r\namr-deadline-ms: 5000\r\nconnection: close\r\n\r\n',
  );
  await waitFor('the response has begun', () => text !== '');
  const finish = async (): Promise<string | undefined> => {
    socket.resume();
    await waitFor('the connection is closed', () => socket.destroyed);
    return listResponses(text)[0];
  };
  return { fleet, finish };
}

t.test('no signal', async (t) => {
  const { finish } = await start(t);
  await sleep(300);
  t.equal(await finish(), `200 ${LARGE_BYTES}`);
});

t.test('SIGHUP does not end the process', async (t) => {
  const { fleet, finish } = await start(t);
  fleet.signal('d1', 'SIGHUP', 'daemon');
  await sleep(300);
  t.equal(await finish(), `200 ${LARGE_BYTES}`);
});

t.test('second SIGTERM does not end the grace', async (t) => {
  const { fleet, finish } = await start(t);
  fleet.signal('d1', 'SIGTERM', 'daemon');
  await sleep(200);
  fleet.signal('d1', 'SIGTERM', 'daemon');
  await sleep(100);
  t.equal(await finish(), `200 ${LARGE_BYTES}`);
});
