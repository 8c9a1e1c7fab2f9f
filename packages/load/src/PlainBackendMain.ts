import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';

/**
 * A backend server that answers at once, for the measurement `overhead`. The first argument, if any, is the URL at
 * which it announces itself; the second its service.
 */
const ANNOUNCE_EVERY_MS = 500;
const SLOTS = 400;
const body = Buffer.alloc(200, 'x');
const [, , announceUrl = '', service = ''] = process.argv;

const server = createServer((req, res) => {
  req.resume();
  req.on('end', () => {
    res.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': body.length });
    res.end(body);
  });
});
server.keepAliveTimeout = 0;
await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
const { port } = server.address() as AddressInfo;

async function announce(): Promise<void> {
  const facts = {
    host: '127.0.0.1',
    port,
    service,
    slots: SLOTS,
    connections: SLOTS,
    checksToken: false,
    incarnation: String(process.pid),
    leaving: false,
    reportedLoad: 0,
  };
  const answer = await request(announceUrl, { method: 'POST', body: JSON.stringify(facts) });
  await answer.body.dump();
}

if (announceUrl !== '') {
  await announce();
  setInterval(() => void announce().catch(() => undefined), ANNOUNCE_EVERY_MS);
}
process.stdout.write(`ready port=${port}\n`);
