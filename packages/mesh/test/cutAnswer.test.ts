import type { Socket } from 'node:net';
import t from 'tap';
import { createOrder } from './CreateOrder.js';
import { formatAnswer } from './FormatAnswer.js';
import { startServerTask } from './StartServerTask.js';

type Test = Parameters<typeof startServerTask>[0];

interface Scenario {
  readonly method?: string;
  /** Comes whole, ahead of the cut answer. */
  readonly before?: string;
  readonly answer: (id: string) => string;
}

const formatHead = (id: string, status: string, framing = ''): string =>
  `HTTP/1.1 ${status}\r\nX-Request-Id: ${id}\r\nX-Sign: s\r\n${framing}\r\n`;

const unframed = (id: string): string => formatHead(id, '200 OK');

const scenarios: Readonly<Record<string, Scenario>> = {
  'sized answer': { answer: (id) => formatAnswer(id) },
  'chunked answer': {
    answer: (id) =>
      `${formatHead(id, '200 OK', 'Transfer-Encoding: chunked\r\n')}10;x=y\r\n${'x'.repeat(16)}\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n`,
  },
  'answer without a body': { answer: (id) => formatHead(id, '204 No') },
  'answer that nothing changed': { answer: (id) => formatHead(id, '304 Same') },
  'answer to HEAD': { method: 'HEAD', answer: (id) => formatHead(id, '200 OK', 'Content-Length: 9\r\n') },
  'head without a length': { answer: unframed },
  'answer behind an interim one': {
    before: 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\n',
    answer: (id) => formatAnswer(id),
  },
  'interim answer': { answer: (id) => `HTTP/1.1 103 Early\r\n\r\n${formatAnswer(id)}` },
  'answer behind a skipped one': { before: formatAnswer('other'), answer: (id) => formatAnswer(id) },
  'unframed head behind a skipped one': { before: formatAnswer('other'), answer: unframed },
};

const ends: Readonly<Record<string, (socket: Socket) => void>> = {
  closed: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
};

/** What the connection of the cut answer, or the one before it, carried. */
type Earlier = 'nothing' | 'whole answer' | 'answer without a length';

/** Cuts an answer after each of its bytes, and returns the results that are not a loss. */
async function listUnnoticed(
  t: Test,
  { method = 'GET', before = '', answer }: Scenario,
  end: (socket: Socket) => void,
  earlier: Earlier,
): Promise<readonly string[]> {
  const { run, server } = await startServerTask(t, ({ id, socket }) => {
    if (!id.startsWith('cut')) {
      if (earlier === 'whole answer') socket.write(formatAnswer(id));
      else socket.end(unframed(id));
      return;
    }
    const part = `${before}${answer(id).slice(0, Number(id.slice(-3)))}`;
    socket.write(part === '' ? '\r\n' : part, () => end(socket));
  });
  const unnoticed: string[] = [];
  for (let cut = 0; cut < answer('cut-000').length; cut += 1) {
    const suffix = String(cut).padStart(3, '0');
    if (earlier !== 'nothing') await run(createOrder(`earlier-${suffix}`));
    const plain = createOrder(`cut-${suffix}`, { idempotent: false });
    const { type } = await run({ ...plain, request: { ...plain.request, method } });
    if (type !== 'lost') unnoticed.push(`${type} after ${cut} bytes`);
    const [previous, last] = server.requests.slice(-2);
    if (earlier === 'whole answer' && previous?.connection !== last?.connection)
      unnoticed.push(`not on the kept connection after ${cut} bytes`);
  }
  return unnoticed;
}

for (const [name, scenario] of Object.entries(scenarios)) {
  for (const [how, end] of Object.entries(ends)) {
    t.test(`${name} that is ${how} early is lost`, async (t) => {
      for (const earlier of ['nothing', 'whole answer', 'answer without a length'] as const)
        t.same(await listUnnoticed(t, scenario, end, earlier), [], `after ${earlier}`);
    });
  }
}

t.test('answers of the tests are whole otherwise', async (t) => {
  for (const [name, { method = 'GET', before = '', answer }] of Object.entries(scenarios)) {
    const { run } = await startServerTask(t, ({ id, socket }) => socket.end(`${before}${answer(id)}`));
    const plain = createOrder('1', { idempotent: false });
    t.match(await run({ ...plain, request: { ...plain.request, method } }), { type: 'answered' }, name);
  }
});
