import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { text } from 'node:stream/consumers';
import t from 'tap';
import type { Address } from '#mesh/Address.js';
import { formatResponse } from './FormatResponse.js';
import { startNode } from './StartNode.js';

const GRACE_MS = 2_000;

const MAX_ATTEMPTS = 100;
const ATTEMPT_INTERVAL_MS = 50;

/** First lines of bytes that are no HTTP/1.1 response. */
const firstLines: Readonly<Record<string, string>> = {
  'status 000': 'HTTP/1.1 000 None',
  'status 099': 'HTTP/1.1 099 Low',
  'status of four digits': 'HTTP/1.1 1000 Long',
  'signed status': 'HTTP/1.1 +200 OK',
  'two status lines': 'HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK',
  'response in HTTP/0.9': 'HTTP/0.9 200 OK',
};

async function send({ host, port }: Address, id: string): Promise<string> {
  const socket = connect(port, host);
  socket.on('error', () => undefined);
  socket.write(
    `GET /p/${id} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ${id}\r\nX-Deadline: 900\r\nConnection: close\r\n\r\n`,
  );
  return text(socket).catch(() => '');
}

/** Waits until the daemon knows its configuration and its backend server; the test checks the outcome. */
async function waitUntilServing(callers: Address): Promise<void> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    if ((await send(callers, `first-${attempt}`)).startsWith('HTTP/1.1 200')) return;
    await sleep(ATTEMPT_INTERVAL_MS);
  }
}

for (const [name, firstLine] of Object.entries(firstLines)) {
  t.test(`${name} does not reach the caller`, async (t) => {
    const { callers, store } = await startNode(t, GRACE_MS, ({ id, socket }) => {
      if (id === 'odd')
        socket.write(`${firstLine}\r\nX-Request-Id: ${id}\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nok`);
      else socket.write(formatResponse(id));
    });
    store.set('routes', 'main', {});
    await waitUntilServing(callers);
    const odd = await send(callers, 'odd');
    t.match(odd, /^HTTP\/1\.1 50[24] /);
    t.notMatch(odd, /X-Sign/i, 'the failure is not signed');
    t.match(await send(callers, 'next'), /^HTTP\/1\.1 200 /, 'the next request is served');
  });
}
