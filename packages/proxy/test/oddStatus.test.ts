import t from 'tap';
import { sendRequest } from './SendRequest.js';
import { TestNode } from './TestNode.js';

const DEADLINE_MS = 800;

const END = 'Content-Length: 2\r\n\r\nok';

/** Status lines that are no HTTP/1.1 response, and what follows them. */
const responses: Readonly<Record<string, string>> = {
  'status 000': `HTTP/1.1 000 None\r\n${END}`,
  'status 099': `HTTP/1.1 099 Low\r\n${END}`,
  'status of four digits': `HTTP/1.1 1000 Long\r\n${END}`,
  'signed status': `HTTP/1.1 +200 OK\r\n${END}`,
  'two status lines': `HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n${END}`,
  'response in HTTP/0.9': 'HTTP/0.9 200 OK\r\n\r\nok',
  'status above 999 in hexadecimal': `HTTP/1.1 FFF High\r\n${END}`,
};

for (const [name, bytes] of Object.entries(responses)) {
  t.test(`${name} does not reach the caller`, async (t) => {
    const node = await new TestNode().start();
    t.teardown(() => node.stop());
    node.own();
    node.backend.respond = ({ req, res }) => {
      if (req.url === '/v1/badges/odd' || req.url === '/odd') res.socket?.write(bytes);
      else res.end('done');
    };
    const odd = await sendRequest(
      node.port,
      { 'amr-deadline-ms': String(DEADLINE_MS) },
      '',
      '/v1/badges/odd',
    );
    t.ok([502, 504].includes(odd.status), `status ${odd.status}`);
    t.not(odd.ran, 'not run', 'the request may have run');
    t.equal((await sendRequest(node.port)).status, 200, 'the next request is served');
  });
}
