import type { Socket } from 'node:net';
import t from 'tap';
import { createTestRequest } from './CreateTestRequest.js';
import { formatResponse } from './FormatResponse.js';
import { startServerTask } from './StartServerTask.js';

type Test = Parameters<typeof startServerTask>[0];

interface Scenario {
  readonly method?: string;
  /** Sent in full before the response that is cut. */
  readonly before?: string;
  readonly response: (id: string) => string;
}

const formatHead = (id: string, status: string, framing = ''): string =>
  `HTTP/1.1 ${status}\r\nX-Request-Id: ${id}\r\nX-Sign: s\r\n${framing}\r\n`;

const unframed = (id: string): string => formatHead(id, '200 OK');

const scenarios: Readonly<Record<string, Scenario>> = {
  'response with a length': { response: (id) => formatResponse(id) },
  'chunked response': {
    response: (id) =>
      `${formatHead(id, '200 OK', 'Transfer-Encoding: chunked\r\n')}10;x=y\r\n${'x'.repeat(16)}\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n`,
  },
  'response without a body': { response: (id) => formatHead(id, '204 No') },
  'not modified response': { response: (id) => formatHead(id, '304 Same') },
  'response to HEAD': { method: 'HEAD', response: (id) => formatHead(id, '200 OK', 'Content-Length: 9\r\n') },
  'head without a length': { response: unframed },
  'response after an interim one': {
    before: 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\n',
    response: (id) => formatResponse(id),
  },
  'interim response': { response: (id) => `HTTP/1.1 103 Early\r\n\r\n${formatResponse(id)}` },
  'response after a skipped one': { before: formatResponse('other'), response: (id) => formatResponse(id) },
  'unframed head after a skipped one': { before: formatResponse('other'), response: unframed },
};

const ends: Readonly<Record<string, (socket: Socket) => void>> = {
  closed: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
};

/** What the connection of the cut response, or the one before it, carried earlier. */
type Earlier = 'nothing' | 'complete response' | 'response without a length';

/** Cuts a response after each of its bytes, and describes the cuts whose result is not `lost`. */
async function listUnnoticed(
  t: Test,
  { method = 'GET', before = '', response }: Scenario,
  end: (socket: Socket) => void,
  earlier: Earlier,
): Promise<readonly string[]> {
  const { run, server } = await startServerTask(t, ({ id, socket }) => {
    if (!id.startsWith('cut')) {
      if (earlier === 'complete response') socket.write(formatResponse(id));
      else socket.end(unframed(id));
      return;
    }
    const part = `${before}${response(id).slice(0, Number(id.slice(-3)))}`;
    socket.write(part === '' ? '\r\n' : part, () => end(socket));
  });
  const unnoticed: string[] = [];
  for (let cut = 0; cut < response('cut-000').length; cut += 1) {
    const suffix = String(cut).padStart(3, '0');
    if (earlier !== 'nothing') await run(createTestRequest(`earlier-${suffix}`));
    const plain = createTestRequest(`cut-${suffix}`, { idempotent: false });
    const { type } = await run({ ...plain, callerRequest: { ...plain.callerRequest, method } });
    if (type !== 'lost') unnoticed.push(`${type} after ${cut} bytes`);
    const [previous, last] = server.requests.slice(-2);
    if (earlier === 'complete response' && previous?.connection !== last?.connection)
      unnoticed.push(`not on the reused connection after ${cut} bytes`);
  }
  return unnoticed;
}

for (const [name, scenario] of Object.entries(scenarios)) {
  for (const [how, end] of Object.entries(ends)) {
    t.test(`${name} that is ${how} early is lost`, async (t) => {
      for (const earlier of ['nothing', 'complete response', 'response without a length'] as const)
        t.same(await listUnnoticed(t, scenario, end, earlier), [], `after ${earlier}`);
    });
  }
}

t.test('uncut responses are accepted', async (t) => {
  for (const [name, { method = 'GET', before = '', response }] of Object.entries(scenarios)) {
    const { run } = await startServerTask(t, ({ id, socket }) => socket.end(`${before}${response(id)}`));
    const plain = createTestRequest('1', { idempotent: false });
    t.match(
      await run({ ...plain, callerRequest: { ...plain.callerRequest, method } }),
      { type: 'answered' },
      name,
    );
  }
});
