import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';

/**
 * A backend server that responds immediately, for the measurement `overhead`. The first argument, if any, is the URL to
 * which it announces itself; the second is its service.
 */
const ANNOUNCE_INTERVAL_MS = 500;
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
  const announcement = {
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
  const response = await request(announceUrl, { method: 'POST', body: JSON.stringify(announcement) });
  await response.body.dump();
}

if (announceUrl !== '') {
  await announce();
  setInterval(() => void announce().catch(() => undefined), ANNOUNCE_INTERVAL_MS);
}
process.stdout.write(`ready port=${port}\n`);
