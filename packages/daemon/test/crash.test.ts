import t from 'tap';
import { callAdmin } from './CallAdmin.js';
import { sendRequest } from './SendRequest.js';
import { startFleet } from './StartFleet.js';
import { waitFor } from './WaitFor.js';

t.test('request that crashes servers is held', async (t) => {
  // Without the hold, a crashing request that its caller retries would crash one backend server after the other.
  const fleet = await startFleet(3);
  t.teardown(() => fleet.stop());
  const ids = ['d1', 'd2', 'd3'];
  const died: string[] = [];
  const awaitBackendEnd = async (id: string): Promise<void> => {
    await fleet.waitBackendEnd(id);
    died.push(id);
  };
  for (const id of ids) void awaitBackendEnd(id);
  // The owner is looked up for each attempt, because shards may move to a daemon that started later. On a busy machine there may
  // be none yet; the attempt is then made again, like one that reaches no backend server.
  const sendCrash = async (): Promise<Awaited<ReturnType<typeof sendRequest>> | undefined> => {
    const owners = await callAdmin(fleet, 'd1', '/admin/v1/owners?service=badges&key=k');
    const [owner] = owners.body.items as readonly { readonly serverId: string }[];
    return owner === undefined ? undefined : sendRequest(fleet, owner.serverId, 'k', 'crash');
  };
  for (let death = 0; death < 2; death += 1) {
    // The request is retried, as a caller would do, until it has reached a backend server.
    await waitFor('a backend server died', async () => {
      await sendCrash();
      return died.length > death;
    });
    const id = died[death]!;
    await fleet.restartBackend(id);
    void awaitBackendEnd(id);
    await waitFor(
      'the daemon has its new backend server',
      async () => (await callAdmin(fleet, id, '/admin/v1/status')).body.service === 'badges',
    );
  }
  await waitFor('the request is held', async () => (await sendCrash())?.error === 'quarantined');
  const listHeld = async (id: string): Promise<readonly Record<string, unknown>[]> =>
    (await callAdmin(fleet, id, '/admin/v1/held')).body.items as readonly Record<string, unknown>[];
  const held = await listHeld('d1');
  t.equal(died.length, 2, `died: ${died.join(' ')}`);
  t.match(held, [{ team: 'alpha', service: 'badges', class: 'look' }]);
  t.same(held[0]!.servers, [...new Set(died)]);
  const lifted = await callAdmin(fleet, 'd2', `/admin/v1/held/${String(held[0]!.id)}`, { method: 'DELETE' });
  t.equal(lifted.status, 200, JSON.stringify(lifted.body));
  for (const id of ids)
    await waitFor(`no hold is left at ${id}`, async () => (await listHeld(id)).length === 0);
  const after = await sendCrash();
  t.ok(after, 'the key has an owner');
  t.not(after?.error, 'quarantined');
});

t.test('forwarded request with a forged signature is refused', async (t) => {
  // A caller that could forge the head of a forwarded request would bypass the checks and limits of the entry.
  const fleet = await startFleet(3);
  t.teardown(() => fleet.stop());
  const forged = { 'amr-hop': `${Date.now()}.00ff`, 'amr-hop-from': 'd2', 'amr-request-id': 'd2-1' };
  for (const id of ['d1', 'd2', 'd3']) {
    const result = await sendRequest(fleet, id, 'k', 'look?rid=forged', forged);
    t.match(result, { status: 403, error: 'hopRejected', ran: 'not run' });
  }
  t.notOk(fleet.readRecords().some(({ requestId }) => requestId === 'forged'));
});
