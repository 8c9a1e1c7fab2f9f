import t from 'tap';
import { callAdmin } from './CallAdmin.js';
import { sendRequest } from './SendRequest.js';
import { startFleet } from './StartFleet.js';
import { waitFor } from './WaitFor.js';

t.test('SIGTERM cuts off nothing', async (t) => {
  // If a response is cut off, its caller retries a request that has already run.
  const fleet = await startFleet(4);
  t.teardown(() => fleet.stop());
  const results: {
    readonly rid: string;
    readonly status: number;
    readonly ran: string;
    readonly bytes: number;
  }[] = [];
  const lost: string[] = [];
  let running = true;
  const loop = async (worker: number): Promise<void> => {
    for (let count = 0; running && count < 20_000; count += 1) {
      const rid = `r${worker}-${count}`;
      const sent = sendRequest(fleet, 'd1', rid, `look?rid=${rid}&bytes=20000`);
      const result = await sent.catch(() => undefined);
      if (result === undefined) {
        lost.push(rid);
        return;
      }
      results.push({ rid, ...result });
    }
  };
  const workers = Promise.all(Array.from({ length: 8 }, (_, index) => loop(index)));
  await waitFor('requests are answered', () => results.length > 50);
  fleet.signal('d1', 'SIGTERM', 'daemon');
  t.equal(await fleet.waitDaemonEnd('d1'), 0);
  running = false;
  await workers;
  const broken = results.filter(({ status, bytes }) => status === 200 && bytes !== 20_000);
  t.same(broken, []);
  const failed = results.filter(({ status, ran }) => status !== 200 && ran !== 'not run');
  t.same(failed, []);
  // Connections refused after the shutdown are expected, but none of those requests may have run.
  const ran = new Set(fleet.readRecords().map(({ requestId }) => requestId));
  t.same(
    lost.filter((rid) => ran.has(rid)),
    [],
  );
  const cell = await fleet.readCell('badges');
  t.notOk(Object.values(cell?.shards ?? {}).some(({ owner }) => owner === 'd1'));
});

t.test('short shutdown leaves no shard owned', async (t) => {
  // Shards that were not moved in time stayed with the stopped daemon until its witnesses declared it lost.
  const fleet = await startFleet(4, { shutdownMs: 4_000 });
  t.teardown(() => fleet.stop());
  fleet.signal('d1', 'SIGTERM', 'daemon');
  t.equal(await fleet.waitDaemonEnd('d1'), 0);
  const cell = await fleet.readCell('badges');
  t.notOk(Object.values(cell?.shards ?? {}).some(({ owner }) => owner === 'd1'));
});

t.test('backend server leaves and returns', async (t) => {
  // A daemon whose backend server leaves must hand its shards over, keep serving callers, and later own shards again.
  const fleet = await startFleet(4);
  t.teardown(() => fleet.stop());
  const countOwned = async (): Promise<number> => {
    const cell = await fleet.readCell('badges');
    return Object.values(cell?.shards ?? {}).filter(({ owner }) => owner === 'd1').length;
  };
  await fleet.controlBackend('d1', '/-/leave', '');
  await waitFor('d1 owns nothing', async () => (await countOwned()) === 0);
  await waitFor(
    'd1 serves callers',
    async () => (await sendRequest(fleet, 'd1', 'k', 'look')).status === 200,
  );
  await fleet.kill('d1', 'backend');
  await fleet.restartBackend('d1');
  await waitFor('d1 owns shards again', async () => (await countOwned()) > 0, 60_000);
  const { body } = await callAdmin(fleet, 'd1', '/admin/v1/status');
  t.equal(body.draining, false);
});
