import t from 'tap';
import { SystemClock } from '#core/SystemClock.js';
import { FleetHopSigner } from '#daemon/FleetHopSigner.js';
import { formatHopFields } from '#proxy/FormatHopFields.js';
import { signHop } from '#rpc/SignHop.js';
import { createMember } from './CreateMember.js';
import { createTestCell } from './CreateTestCell.js';
import { sendRequest } from './SendRequest.js';
import { TestNode } from './TestNode.js';

const HEAD = {
  requestId: 'd2-1',
  method: 'GET',
  service: 'badges',
  path: '/x',
  team: 'alpha',
  class: 'look',
  key: 'k',
  deadlineMs: 5_000,
  idempotencyKey: '',
  epoch: '',
  contentLength: 0,
  headers: {},
};
const HOP = { 'amr-hop-from': 'd2', 'amr-request-id': 'd2-1', 'amr-deadline-ms': '5000' };

t.test('forged hop signature', async (t) => {
  // A sender that could forge the head of a forwarded request would bypass the checks and limits of the entry daemon.
  const node = await new TestNode().start();
  t.teardown(() => node.stop());
  node.own();
  const fields = formatHopFields('d2', 'd1', HEAD);
  const clock = new SystemClock();
  const rejected = { status: 403, error: 'hopRejected', ran: 'not run' };
  const otherKey = new FleetHopSigner('other-fleet-key', clock).sign(fields);
  t.match(await sendRequest(node.port, { ...HOP, 'amr-hop': otherKey }), rejected);
  const signature = new FleetHopSigner('test-fleet-key', clock).sign(fields);
  t.match(await sendRequest(node.port, { ...HOP, 'amr-hop': signature, 'amr-key': 'k2' }), rejected);
  t.equal(node.backend.runs.length, 0);
  t.match(await sendRequest(node.port, { ...HOP, 'amr-hop': signature }), { status: 200 });
});

t.test('stale hop signature', async (t) => {
  // Otherwise a recorded head could be replayed at any later time.
  const node = await new TestNode().start();
  t.teardown(() => node.stop());
  node.own();
  const stale = signHop('test-fleet-key', formatHopFields('d2', 'd1', HEAD), Date.now() - 600_000);
  t.match(await sendRequest(node.port, { ...HOP, 'amr-hop': stale }), { status: 403, error: 'hopRejected' });
  t.equal(node.backend.runs.length, 0);
});

t.test('home regions at the hop', async (t) => {
  // An entry daemon with an old catalogue must not get a request served outside its home regions.
  const node = await new TestNode().start();
  t.teardown(() => node.stop());
  node.path.apply({
    type: 'cell',
    cell: createTestCell([node.member, createMember('far', 4_444, 'r2')], 'd1'),
  });
  const fields = formatHopFields('d2', 'd1', { ...HEAD, class: 'home' });
  const signature = new FleetHopSigner('test-fleet-key', new SystemClock()).sign(fields);
  const response = await sendRequest(node.port, { ...HOP, 'amr-hop': signature, 'amr-class': 'home' });
  t.match(response, { status: 421, error: 'outsideHomeRegions', at: ['127.0.0.1:4444'] });
});

t.test('forwarded request', async (t) => {
  // The response must arrive in full from the daemon that owns the key; no byte may be lost on the hop.
  const [entry, owner] = [new TestNode('d1'), new TestNode('d2')];
  await Promise.all([entry.start(), owner.start()]);
  t.teardown(() => [entry, owner].forEach((node) => node.stop()));
  const cell = createTestCell([entry.member, owner.member], 'd2');
  for (const node of [entry, owner]) node.path.apply({ type: 'cell', cell });
  owner.grant(cell, 60_000);
  owner.backend.respond = ({ res, body }) => res.end(body.repeat(20));
  const response = await sendRequest(entry.port, {}, 'a'.repeat(90_000));
  t.match(response, { status: 200 });
  t.equal(response.text.length, 1_800_000);
  t.equal(entry.backend.runs.length, 0);
  t.equal(owner.backend.runs.length, 1);
});
