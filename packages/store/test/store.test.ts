import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import { ManualClock } from '#core/ManualClock.js';
import { RandomSource } from '#core/RandomSource.js';
import { SystemClock } from '#core/SystemClock.js';
import { ObjectStoreServer } from '#standin/ObjectStoreServer.js';
import { HttpObjectStore } from '#store/HttpObjectStore.js';
import type { HttpStoreOptions } from '#store/HttpStoreOptions.js';
import { updateObject } from '#store/UpdateObject.js';
import type { UpdateOutcome } from '#store/UpdateOutcome.js';

interface Teardown {
  readonly teardown: (close: () => unknown) => void;
}

interface Setup {
  readonly server: ObjectStoreServer;
  readonly store: HttpObjectStore;
  readonly append: (word: string) => Promise<UpdateOutcome>;
}

async function setUp(t: Teardown, options: Partial<HttpStoreOptions> = {}): Promise<Setup> {
  const server = new ObjectStoreServer();
  const port = await server.start();
  const clock = new SystemClock();
  const store = new HttpObjectStore({
    url: `http://127.0.0.1:${port}`,
    clock,
    random: new RandomSource(1),
    timeoutMs: 500,
    ...options,
  });
  t.teardown(() => Promise.all([store.close(), server.stop()]));
  let marks = 0;
  const append = async (word: string): Promise<UpdateOutcome> => {
    const outcome = await updateObject(store, {
      name: 'words/a',
      change: (current) => [...((current?.value as string[] | undefined) ?? []), word],
      nextMark: () => `w/${(marks += 1)}`,
    });
    return outcome.unsafeCoerce();
  };
  return { server, store, append };
}

t.test('versions increase by one', async (t) => {
  const { store, append } = await setUp(t);
  t.match(await append('x'), { type: 'accepted', version: 1 });
  t.match(await append('y'), { type: 'accepted', version: 2 });
  t.match((await store.get('words/a')).unsafeCoerce(), { version: 2, value: ['x', 'y'] });
  t.equal((await store.get('words/b')).unsafeCoerce(), undefined);
});

t.test('a conflicting write is refused with the current object', async (t) => {
  const { store, append } = await setUp(t);
  await append('x');
  const stale = await store.put({ name: 'words/a', value: [], ifVersion: 0, marks: ['late'] });
  t.match(stale.unsafeCoerce(), { type: 'conflict', current: { version: 1, value: ['x'] } });
});

t.test('no change of concurrent writers is lost', async (t) => {
  const { store, append } = await setUp(t);
  await Promise.all(['a', 'b', 'c', 'd'].map((word) => append(word)));
  const read = (await store.get('words/a')).unsafeCoerce();
  t.strictSame([...(read?.value as string[])].sort(), ['a', 'b', 'c', 'd']);
});

t.test('a write with a lost reply is found by its mark', async (t) => {
  const { server, store, append } = await setUp(t);
  server.setFaults({ loseReplies: 1 });
  t.match(await append('x'), { type: 'accepted', version: 1 });
  t.match((await store.get('words/a')).unsafeCoerce(), { version: 1, value: ['x'] });
});

t.test('a write with a lost reply is undecided while the store is unreadable', async (t) => {
  const { server, store, append } = await setUp(t);
  await append('x');
  const change = (): readonly string[] => {
    server.setFaults({ delayMs: 1_000 });
    return ['z'];
  };
  const request = { name: 'words/a', change, nextMark: () => 'm' };
  const outcome = (await updateObject(store, request)).unsafeCoerce();
  t.match(outcome, { type: 'undecided', pending: [{ mark: 'm', ifVersion: 1 }] });
  server.setFaults({ delayMs: 0 });
  if (outcome.type !== 'undecided') return;
  const again = await updateObject(store, {
    ...request,
    change: () => undefined,
    nextMark: () => 'n',
    pending: outcome.pending,
  });
  t.match(again.unsafeCoerce(), { type: /accepted|unchanged/ });
  t.match((await store.get('words/a')).unsafeCoerce(), { version: 2 });
});

t.test('an update fails without effect while the store is down', async (t) => {
  const { server, store, append } = await setUp(t);
  await append('x');
  server.setFaults({ down: true });
  const request = { name: 'words/a', change: () => ['z'], nextMark: () => 'm' };
  t.ok((await updateObject(store, request)).isLeft());
  server.setFaults({ down: false });
  t.match((await store.get('words/a')).unsafeCoerce(), { version: 1, value: ['x'] });
});

t.test('a watch returns the next version', async (t) => {
  const { server, store, append } = await setUp(t);
  await append('x');
  const watch = store.watch('words/a', 1, 5_000);
  while (server.readStats().watches === 0) await new Promise((resolve) => setImmediate(resolve));
  await append('y');
  t.match((await watch).unsafeCoerce(), { version: 2 });
  t.equal((await store.watch('words/a', 2, 20)).unsafeCoerce(), undefined);
});

t.test('no call is made with a spent call budget', async (t) => {
  const { server, store } = await setUp(t, { callBurst: 2, callsPerSecond: 0, changeReserve: 0 });
  await store.get('words/a');
  await store.get('words/a');
  const refused = await store.get('words/a');
  t.equal(refused.swap().unsafeCoerce().fields.code, 'storeBudgetSpent');
  t.equal(server.readStats().reads, 2);
});

t.test('look-ups leave calls for changes', async (t) => {
  // Look-ups for misdirected requests had spent the budget, so that a leaving daemon could not write its moves.
  const { store, append } = await setUp(t, { callBurst: 8, callsPerSecond: 0, changeReserve: 4 });
  for (let count = 0; count < 20; count += 1) await store.get('words/a');
  t.match(await append('x'), { type: 'accepted', version: 1 });
  t.match(await append('y'), { type: 'accepted', version: 2 });
});

t.test('a spent budget only delays a change', async (t) => {
  // Each attempt had used for its read the call that its write needed, so that the change was never written.
  const clock = new ManualClock();
  const { store } = await setUp(t, { clock, callBurst: 4, callsPerSecond: 0.4, changeReserve: 0 });
  for (let count = 0; count < 4; count += 1) await store.get('words/a');
  const request = { name: 'words/a', change: () => ['x'], nextMark: () => 'm' };
  let written = false;
  for (let elapsedMs = 0; !written && elapsedMs < 6_000; elapsedMs += 500) {
    clock.advance(500);
    written = (await updateObject(store, request)).isRight();
  }
  t.ok(written);
});

t.test('a malformed response of the store is a failed call', async (t) => {
  // A version that was not a number ranked above all others, and marks that were not a list crashed the reader.
  let [body, etag] = ['', ''];
  const server = createServer((_, res) => res.writeHead(200, { etag }).end(body));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const store = new HttpObjectStore({
    url: `http://127.0.0.1:${port}`,
    clock: new SystemClock(),
    random: new RandomSource(1),
  });
  t.teardown(async () => {
    await store.close();
    server.close();
  });
  const good = '{"marks":["a"],"value":1}';
  for (const [nextBody, nextEtag] of [
    ['null', '"1"'],
    ['{"value":1}', '"1"'],
    ['{"marks":[5],"value":1}', '"1"'],
    [good, '"x"'],
    [good, '"1e400"'],
    [good, '"-1"'],
  ] as const) {
    [body, etag] = [nextBody, nextEtag];
    const read = (await store.get('a')).swap().unsafeCoerce();
    t.equal(read.fields.code, 'storeAnswerInvalid', `${body} ${etag}`);
  }
  const put = await store.put({ name: 'a', value: 1, ifVersion: 0, marks: [] });
  t.equal(put.swap().unsafeCoerce().fields.code, 'storeReplyLost');
  [body, etag] = [good, '"7"'];
  t.match((await store.get('a')).unsafeCoerce(), { version: 7, marks: ['a'], value: 1 });
});
