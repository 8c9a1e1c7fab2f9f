import t, { type Test } from 'tap';
import { findCellIndex } from '#assignment/FindCellIndex.js';
import { createMember } from './CreateMember.js';
import { createTestCatalogue } from './CreateTestCatalogue.js';
import { createTestCell } from './CreateTestCell.js';
import { RawCaller } from './RawCaller.js';
import { sendRequest } from './SendRequest.js';
import { TestNode } from './TestNode.js';

async function startOwner(t: Test, maxBodyBytes = 100_000): Promise<TestNode> {
  const node = await new TestNode().start(createTestCatalogue({ maxBodyBytes }));
  t.teardown(() => node.stop());
  node.own();
  return node;
}

t.test('length and chunked coding', async (t) => {
  // Two servers can disagree on the end of the body, so a caller could hide a request in it (request smuggling).
  const node = await startOwner(t);
  const caller = new RawCaller(node.port);
  const both = ['content-length: 5', 'transfer-encoding: chunked'];
  caller.send('POST /v1/badges/x HTTP/1.1', both, '0\r\n\r\nGET /v1/badges/hidden HTTP/1.1\r\n\r\n');
  const text = await caller.waitClosed();
  t.match(text, /^HTTP\/1\.1 400 /);
  t.match(text, '"ran":"not run"');
  t.equal(text.split('HTTP/1.1 ').length, 2, 'one response');
  t.equal(node.backend.runs.length, 0);
});

t.test('oversized head', async (t) => {
  // Without a limit on the head, a caller could exhaust the memory.
  const node = await startOwner(t);
  const caller = new RawCaller(node.port);
  caller.send('GET /v1/badges/x HTTP/1.1', [`x-large: ${'a'.repeat(200_000)}`]);
  t.match(await caller.waitClosed(), /^(HTTP\/1\.1 431 |$)/);
  t.equal(node.backend.runs.length, 0);
});

t.test('oversized body by length', async (t) => {
  // A body above the limit of its entry must not be read.
  const node = await startOwner(t, 1_000);
  const caller = new RawCaller(node.port);
  caller.send('POST /v1/badges/x HTTP/1.1', ['content-length: 1001']);
  t.match(await caller.waitClosed(), /^HTTP\/1\.1 413 /);
  t.equal(node.backend.runs.length, 0);
});

t.test('oversized chunked body', async (t) => {
  // Without a content length, the excess is noticed only while the body is streamed; the request must not complete.
  const node = await startOwner(t, 1_000);
  const caller = new RawCaller(node.port);
  const chunk = `800\r\n${'a'.repeat(0x800)}\r\n0\r\n\r\n`;
  caller.send('POST /v1/badges/x HTTP/1.1', ['transfer-encoding: chunked'], chunk);
  t.notMatch(await caller.waitFor('\r\n\r\n'), /^HTTP\/1\.1 200 /);
  t.equal(node.backend.runs.length, 0);
});

t.test('unknown names', async (t) => {
  // A request without a catalogue entry has no limits and no home regions, so it must not run.
  const node = await startOwner(t);
  const unknown = { status: 403, error: 'noEntry', ran: 'not run' };
  t.match(await sendRequest(node.port, { 'amr-team': 'beta' }), unknown);
  t.match(await sendRequest(node.port, { 'amr-class': 'other' }), unknown);
  t.match(await sendRequest(node.port, {}, '', '/v1/other/x'), { status: 404, error: 'unknownService' });
  t.equal(node.backend.runs.length, 0);
});

t.test('outside home regions', async (t) => {
  // A body must not be read outside the home regions, since it would be stored in memory there.
  const node = await startOwner(t);
  const members = [node.member, createMember('far', 4_444, 'r2')];
  node.path.apply({ type: 'cell', cell: createTestCell(members, 'd1') });
  // The caller sends no byte of the body, so a refusal that waited for the body would never come.
  const home = new RawCaller(node.port);
  home.socket.write(
    'POST /v1/badges/x HTTP/1.1\r\nhost: x\r\namr-team: alpha\r\namr-class: home\r\namr-key: k\r\ncontent-length: 10\r\n\r\n',
  );
  const text = await home.waitClosed();
  t.match(text, /^HTTP\/1\.1 421 /);
  t.match(text, '"at":["127.0.0.1:4444"]');
  t.equal(node.backend.runs.length, 0);
});

t.test('unknown cell is requested', async (t) => {
  // A daemon that never fetched a missing cell would refuse all requests for its keys.
  const catalogue = createTestCatalogue();
  const services = catalogue.catalogue.services.map((service) => ({ ...service, cells: 8 }));
  const node = await new TestNode().start({ ...catalogue, catalogue: { ...catalogue.catalogue, services } });
  t.teardown(() => node.stop());
  const cell = { ...createTestCell([node.member], 'd1'), service: 'stalls' };
  node.path.apply({ type: 'cell', cell });
  for (const key of ['k1', 'k2', 'k3']) {
    const response = await sendRequest(node.port, { 'amr-key': key, 'amr-deadline-ms': '200' });
    t.match(response, { status: 503, error: 'noCell', ran: 'not run' });
    t.ok(node.cellsNeeded.includes(`badges/${findCellIndex(key, 8)}`));
  }
});

t.test('pipelined requests', async (t) => {
  // Responses that are sent out of order would be taken for those of other requests.
  const node = await startOwner(t);
  await node.warmUp();
  node.backend.respond = ({ req, res }) => {
    // The first request gets its response last.

    if (req.url === '/0') return;
    res.end(`answer${req.url}`);
    if (node.backend.runs.filter((run) => /^.[012]$/.test(run.req.url ?? '')).length === 3)
      node.backend.runs.find((run) => run.req.url === '/0')?.res.end('answer/0');
  };
  const caller = new RawCaller(node.port);
  for (const index of [0, 1, 2]) caller.send(`GET /v1/badges/${index} HTTP/1.1`);
  const text = await caller.waitFor('answer/2');
  const order = [...text.matchAll(/answer\/(\d)/g)].map((match) => match[1]);
  t.same(order, ['0', '1', '2']);
  caller.socket.destroy();
});
