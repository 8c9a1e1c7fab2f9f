import { connect, createServer, type Server, type Socket } from 'node:net';
import type { Address } from '#mesh/Address.js';
import { listenAt } from '#mesh/ListenAt.js';

const TICK_MS = 2;
const MS_PER_SECOND = 1_000;

/** Bytes that wait on one connection before the sender is held back, as a link with small windows does. */
const WINDOW_BYTES = 256 * 1_024;

/** One direction of a relayed connection. */
interface Flow {
  readonly from: Socket;
  readonly to: Socket;
  readonly chunks: Buffer[]; // eslint-disable-line no-restricted-syntax -- queue
}

/** Relays TCP connections of one VM to other VMs at the rate of its link. All connections share the rate. */
export class PacedLink {
  private readonly servers: readonly Server[];
  private readonly routes: readonly { readonly address: Address; readonly target: Address }[];
  private readonly timer: NodeJS.Timeout;
  private readonly bytesPerSecond: number;
  private readonly flows = new Set<Flow>();
  private lastMs = performance.now();

  public constructor(
    routes: readonly { readonly address: Address; readonly target: Address }[],
    bytesPerSecond: number,
  ) {
    this.bytesPerSecond = bytesPerSecond;
    this.routes = routes;
    this.servers = routes.map(({ target }) =>
      createServer({ allowHalfOpen: true }, (client) => this.relay(client, target)),
    );
    this.timer = setInterval(() => this.forward(), TICK_MS);
  }

  public async open(): Promise<void> {
    await Promise.all(
      this.servers.flatMap((server, index) => {
        const route = this.routes[index];
        return route === undefined ? [] : [listenAt(server, route.address)];
      }),
    );
  }

  public close(): void {
    clearInterval(this.timer);
    for (const server of this.servers) server.close();
    for (const { from, to } of this.flows) {
      from.destroy();
      to.destroy();
    }
  }

  private relay(client: Socket, target: Address): void {
    const upstream = connect({ ...target, allowHalfOpen: true, noDelay: true });
    client.setNoDelay(true);
    this.add({ from: client, to: upstream, chunks: [] });
    // Responses are small; only the direction away from the VM is paced.
    upstream.pipe(client);
    upstream.on('error', () => client.destroy());
    upstream.on('close', () => client.destroy());
  }

  private add(flow: Flow): void {
    const { from, to, chunks } = flow;
    this.flows.add(flow);
    from.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      if (countBytes(chunks) > WINDOW_BYTES) from.pause();
    });
    from.on('end', () => to.end());
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.flows.delete(flow);
      to.destroy();
    });
  }

  private forward(): void {
    const nowMs = performance.now();
    let budget = ((nowMs - this.lastMs) * this.bytesPerSecond) / MS_PER_SECOND;
    this.lastMs = nowMs;
    for (const { from, to, chunks } of this.flows) {
      for (let first = chunks[0]; first !== undefined && budget > 0; first = chunks[0]) {
        chunks.shift();
        budget -= first.length;
        if (!to.destroyed) to.write(first);
      }
      if (countBytes(chunks) <= WINDOW_BYTES && from.isPaused()) from.resume();
    }
  }
}

function countBytes(chunks: readonly Buffer[]): number {
  return chunks.reduce((sum, { length }) => sum + length, 0);
}
