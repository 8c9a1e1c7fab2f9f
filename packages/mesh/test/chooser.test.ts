import t from 'tap';
import { createEntry } from './CreateEntry.js';
import { createView } from './CreateView.js';
import { EntryRun } from './EntryRun.js';

/** Far more than the time in which failures are forgotten. */
const FORGET_MS = 60_000;

const near = createEntry('a');
const far = createEntry('b', { failureDomain: 'x' });

function listServers(run: EntryRun): readonly string[] {
  return run.sent.map(({ server }) => server.serverId);
}

t.test('request that timed out is not in flight for ever', async (t) => {
  // Each timeout added to the load that the entry daemon assumed, until it never used the server again.
  const run = new EntryRun(createView([near, far]));
  for (let index = 0; index < 30; index += 1) {
    await run.arrive(String(index));
    await run.advance(1_000);
    await run.advance(FORGET_MS);
  }
  t.ok(
    listServers(run).every((id) => id === 'a'),
    listServers(run).join(),
  );
});

t.test('request of a caller that left is not in flight for ever', async (t) => {
  const run = new EntryRun(createView([near, far]));
  for (let index = 0; index < 30; index += 1) {
    const exchange = await run.arrive(String(index));
    run.task.post({ type: 'left', exchange });
    await run.settle();
  }
  t.ok(
    listServers(run).every((id) => id === 'a'),
    listServers(run).join(),
  );
});

t.test('server whose requests time out is avoided', async (t) => {
  const run = new EntryRun(createView([near, far]));
  for (let index = 0; index < 3; index += 1) {
    await run.arrive(String(index));
    await run.advance(1_000);
  }
  await run.arrive('next');
  t.equal(listServers(run).at(-1), 'b');
});

t.test('report of the second copy is not taken for one of the first server', async (t) => {
  // A full server counted as free after another one had ended a second copy.
  const run = new EntryRun(createView([near, createEntry('c')]));
  await run.arrive('0');
  const first = run.sent[0]?.server.serverId ?? '';
  const server = first === 'a' ? createEntry('c') : near;
  const full = { running: 4, queued: 40, slots: 4, waitMs: 900, serviceMs: 40, slowdown: 1 };
  const free = { ...full, running: 0, queued: 0, waitMs: 0 };
  const headers: readonly (readonly [string, string])[] = [];
  const response = { status: 200, headers, body: Buffer.from('x') };
  await run.complete(
    { type: 'answered', response, load: free },
    {
      server,
      result: { type: 'answered', response, load: free },
      firstResult: { type: 'lost', code: 'connectionLost', load: full },
    },
  );
  for (let index = 1; index <= 20; index += 1) await run.arrive(String(index));
  const again = listServers(run).slice(1);
  t.ok(
    again.every((id) => id !== first),
    `first ${first}, then ${again.join()}`,
  );
});
