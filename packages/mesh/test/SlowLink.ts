import { connect, createServer, type Server, type Socket } from 'node:net';
import type { Address } from '#mesh/Address.js';
import { listenOnFreePort } from './ListenOnFreePort.js';

const FORWARD_INTERVAL_MS = 10;

/** Bytes read ahead of the link; the rest waits in the kernel and in the process that writes. */
const MAX_QUEUED_BYTES = 64 * 1024;

/** Relays TCP connections to one address with a delay, and with limited bandwidth in the direction of the clients. */
export class SlowLink {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly bytesPerInterval: number;
  private readonly delayMs: number;

  public constructor(target: Address, bytesPerSecond: number, delayMs = 0) {
    this.bytesPerInterval = (bytesPerSecond * FORWARD_INTERVAL_MS) / 1_000;
    this.delayMs = delayMs;
    this.server = createServer({ allowHalfOpen: true }, (client) => this.relay(client, target));
  }

  public async start(): Promise<string> {
    return `127.0.0.1:${await listenOnFreePort(this.server)}`;
  }

  public stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private relay(client: Socket, target: Address): void {
    const upstream = connect({ ...target, allowHalfOpen: true, noDelay: true });
    for (const socket of [client, upstream]) this.sockets.add(socket);
    client.setNoDelay(true);
    client.on('data', (bytes: Buffer) => this.delay(() => upstream.write(bytes)));
    client.on('end', () => this.delay(() => upstream.end()));
    client.on('error', () => this.delay(() => upstream.destroy()));
    client.on('close', () => this.delay(() => upstream.destroy()));
    upstream.on('error', () => this.delay(() => client.resetAndDestroy()));
    this.forward(upstream, client);
  }

  private forward(upstream: Socket, client: Socket): void {
    let queue = Buffer.alloc(0);
    let hasEnded = false;
    upstream.on('data', (bytes: Buffer) => {
      queue = Buffer.concat([queue, bytes]);
      if (queue.length >= MAX_QUEUED_BYTES) upstream.pause();
    });
    upstream.on('end', () => (hasEnded = true));
    const timer = setInterval(() => {
      const bytes = queue.subarray(0, this.bytesPerInterval);
      if (bytes.length > 0) this.delay(() => client.write(bytes));
      queue = queue.subarray(this.bytesPerInterval);
      if (queue.length < MAX_QUEUED_BYTES) upstream.resume();
      if (!hasEnded || queue.length > 0) return;
      clearInterval(timer);
      this.delay(() => client.end());
    }, FORWARD_INTERVAL_MS);
    client.on('close', () => clearInterval(timer));
  }

  private delay(action: () => void): void {
    setTimeout(action, this.delayMs);
  }
}
