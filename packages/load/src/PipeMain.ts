import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { pipeline } from 'node:stream';
import { Pool } from 'undici';

/** The baseline of the measurement `overhead`: a bare pipe from Node's http server to undici, without any rule. */
const pool = new Pool(process.argv[2] ?? '', { connections: 400, pipelining: 1 });
const server = createServer((req, res) => {
  pool
    .request({ path: req.url ?? '/', method: req.method as 'GET', body: req.method === 'GET' ? null : req })
    .then((answer) => {
      res.writeHead(answer.statusCode, { 'content-length': String(answer.headers['content-length']) });
      pipeline(answer.body, res, () => undefined);
    })
    .catch(() => res.destroy());
});
server.keepAliveTimeout = 75_000;
await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
process.stdout.write(`ready caller=${(server.address() as AddressInfo).port}\n`);
