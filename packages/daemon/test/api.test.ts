import t from 'tap';
import type { Catalogue } from '#catalogue/Catalogue.js';
import { callAdmin } from './CallAdmin.js';
import { createCatalogue } from './CreateCatalogue.js';
import { sendRequest } from './SendRequest.js';
import { startFleet } from './StartFleet.js';
import { waitFor } from './WaitFor.js';

function withBurst(burst: number): Catalogue {
  const catalogue = createCatalogue();
  const entries = catalogue.entries.map((entry) => ({ ...entry, limits: { ...entry.limits, burst } }));
  return { ...catalogue, entries };
}

t.test('catalogue change reaches all daemons', async (t) => {
  // A change that some daemons never apply would be enforced only for the callers of the others.
  const fleet = await startFleet(3);
  t.teardown(() => fleet.stop());
  const put = await callAdmin(fleet, 'd1', '/admin/v1/catalogue', {
    method: 'PUT',
    ifVersion: 1,
    body: withBurst(9_000),
  });
  t.equal(put.status, 200, JSON.stringify(put.body));
  await waitFor('every daemon has the new version', async () => {
    const versions = await Promise.all(
      ['d1', 'd2', 'd3'].map((id) => callAdmin(fleet, id, '/admin/v1/status')),
    );
    return versions.every(({ body }) => body.catalogueVersion === put.version);
  });
  await waitFor('the API reports it', async () => {
    const { body } = await callAdmin(fleet, 'd3', '/admin/v1/propagation');
    return body.daemons === 3 && body.current === 3 && body.catalogueVersion === put.version;
  });
  // The replaced version must stay readable in the history.
  const earlier = await callAdmin(fleet, 'd2', '/admin/v1/catalogue/history/1');
  t.equal(earlier.status, 200, JSON.stringify(earlier.body));
  const history = await callAdmin(fleet, 'd2', '/admin/v1/catalogue/history');
  t.same(
    (history.body.items as readonly { readonly version: number }[]).map(({ version }) => version),
    [2, 1],
  );
});

t.test('one of two concurrent changes is accepted', async (t) => {
  // If both changes of the same version were accepted, the second would silently undo the first.
  const fleet = await startFleet(3);
  t.teardown(() => fleet.stop());
  const results = await Promise.all(
    ['d1', 'd2'].map((id, index) =>
      callAdmin(fleet, id, '/admin/v1/catalogue', {
        method: 'PUT',
        ifVersion: 1,
        body: withBurst(8_000 + index),
      }),
    ),
  );
  t.same(results.map(({ status }) => status).sort(), [200, 412]);
  const loser = results.find(({ status }) => status === 412);
  t.match(loser?.body, { version: 2, author: 'operators' });
});

t.test('drained domain is empty', async (t) => {
  // A failure domain can be taken out safely only if it keeps no shard and no request fails during the moves.
  const fleet = await startFleet(6);
  t.teardown(() => fleet.stop());
  const sender = keepSending(fleet);
  // Without leases, which a new fleet acquires after its shards are placed, the drain would move shards that serve nobody.
  await waitFor('requests are answered', () => sender.sent() > 50);
  const sentBefore = sender.sent();
  const path = '/admin/v1/withdrawals/failureDomain/a';
  const put = await callAdmin(fleet, 'd2', path, { method: 'PUT', ifVersion: 0 });
  t.equal(put.status, 200, JSON.stringify(put.body));
  await waitFor('the drain is done', async () => (await callAdmin(fleet, 'd3', path)).body.done === true);
  const cell = await fleet.readCell('badges');
  const left = Object.values(cell?.shards ?? {}).filter(({ owner }) => owner === 'd1' || owner === 'd4');
  t.equal(left.length, 0);
  const sent = sender.sent() - sentBefore;
  t.ok(sent > 20, `sent ${sent}`);
  const failures = await sender.stop();
  t.same(failures, []);
});

/** Sends requests to the daemons outside the drained domain and retries requests that did not run. */
function keepSending(fleet: Awaited<ReturnType<typeof startFleet>>): {
  /** Number of requests that have ended. */
  readonly sent: () => number;
  /** Resolves with the failed requests after the last one has ended. */
  readonly stop: () => Promise<readonly unknown[]>;
} {
  let running = true;
  let sent = 0;
  const failures: unknown[] = [];
  const sendOne = async (key: string): Promise<void> => {
    const endMs = Date.now() + 10_000;
    for (let attempt = 0; ; attempt += 1) {
      const result = await sendRequest(fleet, ['d2', 'd3', 'd5', 'd6'][attempt % 4]!, key, 'look');
      if (result.status === 200) return;
      if (result.ran !== 'not run' || Date.now() > endMs) return void failures.push(result);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  };
  const loop = async (worker: number): Promise<void> => {
    for (; running && sent < 20_000; sent += 1) await sendOne(`key-${worker}-${sent}`);
  };
  const workers = Promise.all([0, 1, 2, 3].map(loop));
  return {
    sent: () => sent,
    stop: async () => {
      running = false;
      await workers;
      return failures;
    },
  };
}
