import t from 'tap';
import { BodyBudget } from '#core/BodyBudget.js';
import { SystemClock } from '#core/SystemClock.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import { PeerSession } from '#mesh/PeerSession.js';
import type { PeerReply } from '#mesh/PeerReply.js';
import { ReceiverTask } from '#mesh/ReceiverTask.js';
import { relayPaths } from '#mesh/RelayPaths.js';
import { RelayTask } from '#mesh/RelayTask.js';
import { ServerLink } from '#mesh/ServerLink.js';
import type { ServerLinkSignal } from '#mesh/ServerLinkSignal.js';
import { createTestRequest } from './CreateTestRequest.js';
import { findFreePort } from './FindFreePort.js';
import { RecordingLogger } from './RecordingLogger.js';
import { startServerTask } from './StartServerTask.js';

const INVALID_ADDRESSES: readonly string[] = ['10.0.0.1:99999', '10.0.0.1:-1', '', ':', '[::1', 'a b:1'];

const clock = new SystemClock();

/** Starts a `RelayTask`, and records the addresses that it reports as unreachable. */
function startRelay(t: { readonly teardown: (close: () => unknown) => void }): {
  readonly relay: RelayTask;
  readonly unreachable: readonly string[];
} {
  const unreachable: string[] = [];
  const relay = new RelayTask({
    clock,
    logger: new RecordingLogger('test'),
    revisions: () => [],
    onHint: () => undefined,
    onReachability: (address, reachable) => {
      if (!reachable) unreachable.push(address);
    },
  });
  t.teardown(() => relay.stop());
  return { relay, unreachable };
}

t.test('connection to an invalid address fails with a signal', async (t) => {
  // Guards against an exception of the constructor, which ended the process.
  for (const address of ['10.0.0.1:99999', '10.0.0.1:-1', ':x', 'a']) {
    const signal = await new Promise<ServerLinkSignal>((resolve) => {
      const link = new ServerLink({ address, incarnation: 'i' }, 'x', new BodyBudget(0), resolve);
      t.equal(link.state, 'connecting');
    });
    t.match(signal, { type: 'closed', refused: false, neverOpened: true }, address);
  }
});

t.test('request for a server with an invalid address is refused', async (t) => {
  const { run, announce } = await startServerTask(t, () => undefined);
  announce({ address: '10.0.0.1:99999', incarnation: 'i/2' });
  t.match(await run(createTestRequest('1')), { type: 'refused', code: 'noServer' });
});

t.test('session with an invalid address reports its failure', async (t) => {
  // Guards against an exception of the constructor, which ended the process.
  for (const address of INVALID_ADDRESSES) {
    const failed = await new Promise<boolean>((resolve) => {
      new PeerSession(address, () => clock.monotonicMs(), new BodyBudget(0), resolve);
    });
    t.equal(failed, true, address);
  }
});

t.test('request for a daemon with an invalid address is refused as unreachable', async (t) => {
  const { relay, unreachable } = startRelay(t);
  for (const address of INVALID_ADDRESSES) {
    const result = await relay.ask<BackendResult>((reply) => ({
      type: 'order',
      request: createTestRequest('1'),
      address,
      reply,
    }));
    t.match(result, { type: 'refused', code: 'unreachable', arrived: false }, address);
  }
  await new Promise((resolve) => setImmediate(resolve));
  t.same(unreachable, INVALID_ADDRESSES);
});

t.test('malformed call of another daemon does not end the process', async (t) => {
  // Guards against uncaught errors: the library rejects a batch that contains non-objects, and an id that is nested too
  // deeply makes JSON.stringify throw.
  const logger = new RecordingLogger('test');
  const port = await findFreePort();
  const receiver = new ReceiverTask({
    host: '127.0.0.1',
    port,
    clock,
    logger,
    onRequest: () => undefined,
    calls: { ping: () => true, fail: () => Promise.reject(new Error('failed')) },
    revisions: () => [],
    onHint: () => undefined,
  });
  await receiver.listen();
  const session = new PeerSession(
    `127.0.0.1:${port}`,
    () => clock.monotonicMs(),
    new BodyBudget(1024 * 1024),
    () => undefined,
  );
  t.teardown(() => {
    session.destroy();
    receiver.stop();
  });
  const send = (body: string): Promise<PeerReply> =>
    new Promise((resolve) => {
      session.send(relayPaths.calls, { kind: 'call', detail: '', revisions: [] }, Buffer.from(body), resolve);
    });
  const nested = `${'['.repeat(100_000)}${']'.repeat(100_000)}`;
  const call = (id: string, method: string): string => `{"jsonrpc":"2.0","id":${id},"method":"${method}"}`;
  for (const body of ['[null]', '[1,2]', 'null', '5', '', nested, call(nested, 'ping'), call(nested, 'none')])
    await send(body);
  await send(call('1', 'fail'));
  t.match(await send(call('1', 'ping')), { ok: true });
  t.ok(logger.records.some(({ event }) => event === 'messageMalformed'));
  t.ok(logger.records.some(({ event }) => event === 'callRefused'));
});
