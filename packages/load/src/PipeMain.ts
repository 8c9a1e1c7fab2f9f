import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { pipeline } from 'node:stream';
import { Pool } from 'undici';

/** Baseline of the measurement `overhead`: forwards requests from Node's HTTP server to undici without any rules. */
const pool = new Pool(process.argv[2] ?? '', { connections: 400, pipelining: 1 });
const server = createServer((req, res) => {
  pool
    .request({ path: req.url ?? '/', method: req.method as 'GET', body: req.method === 'GET' ? null : req })
    .then((response) => {
      res.writeHead(response.statusCode, { 'content-length': String(response.headers['content-length']) });
      pipeline(response.body, res, () => undefined);
    })
    .catch(() => res.destroy());
});
server.keepAliveTimeout = 75_000;
await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
process.stdout.write(`ready caller=${(server.address() as AddressInfo).port}\n`);
