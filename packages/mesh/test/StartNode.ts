import { Right } from 'purify-ts';
import { defaultCallerCapacity } from '#connection/DefaultCallerCapacity.js';
import { SystemClock } from '#core/SystemClock.js';
import { defaultLeaseTimings } from '#ranges/DefaultLeaseTimings.js';
import { MemoryCollectionStore } from '#standin/MemoryCollectionStore.js';
import type { Address } from '#mesh/Address.js';
import { MeshNode } from '#mesh/MeshNode.js';
import { RouteDecoder } from '#mesh/RouteDecoder.js';
import { createView } from './CreateView.js';
import { findFreePort } from './FindFreePort.js';
import { RawServer } from './RawServer.js';
import type { RawRequest } from './RawRequest.js';
import { testHeaders } from './TestHeaders.js';

interface Teardown {
  readonly teardown: (close: () => unknown) => void;
}

interface NodeRun {
  readonly node: MeshNode;
  /** Address for other daemons. */
  readonly peers: Address;
  /** Address for callers. */
  readonly callers: Address;
  /** Store of the daemon; a configuration is in force once it has an object in the collection `routes`. */
  readonly store: MemoryCollectionStore;
}

const SLOTS = 200;

class FixedRoutes extends RouteDecoder {
  public override decode(): ReturnType<RouteDecoder['decode']> {
    const { routes } = createView([]);
    if (routes === undefined) throw new Error('the view has no routes');
    return Right(routes.table);
  }
}

/** Starts a daemon whose backend server handles requests with `onRequest`. */
export async function startNode(
  t: Teardown,
  graceMs: number,
  onRequest: (request: RawRequest) => void,
): Promise<NodeRun> {
  const server = new RawServer(onRequest);
  const serverAddress = await server.start();
  const [callers, peers, readiness] = await Promise.all([findAddress(), findAddress(), findAddress()]);
  const store = new MemoryCollectionStore();
  const node = new MeshNode({
    identity: { serverId: 'a', failureDomain: 'd', region: 'r', service: 's' },
    processId: 'p1',
    callers,
    peers,
    callerCapacity: defaultCallerCapacity,
    readiness,
    metrics: undefined,
    headers: testHeaders,
    store,
    decoder: new FixedRoutes(),
    clock: new SystemClock(),
    timings: defaultLeaseTimings,
    announceEveryMs: 1_000,
    drainMs: 2_500,
    evacuateMs: 5_000,
    graceMs,
    retryFraction: 0.2,
    retrySlack: 60,
    hedging: { fraction: 0, percentile: 95 },
    seed: 1,
  });
  await node.start();
  let sequence = 0;
  const announce = (): Promise<unknown> => {
    sequence += 1;
    return node.announce({
      instanceId: 'i',
      bornMs: 1,
      sequence,
      service: 's',
      address: serverAddress,
      slots: SLOTS,
      draining: false,
      coldLeftMs: 0,
      holds: [],
      released: [],
    });
  };
  await announce();
  const timer = setInterval(() => void announce(), 500);
  t.teardown(() => {
    clearInterval(timer);
    node.halt();
    server.stop();
  });
  return { node, peers, callers, store };
}

async function findAddress(): Promise<Address> {
  return { host: '127.0.0.1', port: await findFreePort() };
}
