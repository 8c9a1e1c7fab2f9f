import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { listResponses } from '../../mesh/test/ListResponses.js';
import { RawCaller } from './RawCaller.js';
import { TestNode } from './TestNode.js';
import { waitUntil } from './WaitUntil.js';

/** Work of the backend server for each request, in milliseconds. */
const WORK_MS = 400;

const FIRST = 'GET /v1/badges/a HTTP/1.1';
const SECOND = 'GET /v1/badges/b HTTP/1.1';

function countResponses(text: string): number {
  return text.split('HTTP/1.1 ').length - 1;
}

async function start(t: { readonly teardown: (close: () => unknown) => void }): Promise<TestNode> {
  const node = await new TestNode().start();
  t.teardown(() => node.stop());
  node.own();
  await node.warmUp();
  node.backend.respond = ({ res }) => setTimeout(() => res.end('xx'), WORK_MS);
  return node;
}

t.test('request behind one without Host is answered or not passed on', async (t) => {
  const node = await start(t);
  const caller = new RawCaller(node.port);
  caller.socket.write(
    'GET /v1/badges/a HTTP/1.1\r\namr-team: alpha\r\namr-class: look\r\namr-key: k\r\n\r\n',
  );
  caller.send(SECOND, [], '\r\n');
  await sleep(2 * WORK_MS);
  t.comment(`${node.backend.runs.length} runs: ${JSON.stringify(caller.text)}`);
  t.equal(countResponses(caller.text), 1 + node.backend.runs.length);
});

t.test('CONNECT does not end the request before it', async (t) => {
  const node = await start(t);
  const caller = new RawCaller(node.port);
  caller.send(FIRST, [], '\r\n');
  await waitUntil('the request runs', () => node.backend.runs.length === 1);
  caller.socket.write('CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\n\r\n');
  await sleep(2 * WORK_MS);
  t.comment(JSON.stringify(caller.text.slice(0, 60)));
  t.equal(listResponses(caller.text)[0], '200 2');
});
