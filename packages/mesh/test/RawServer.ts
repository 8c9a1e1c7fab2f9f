import { createServer, type Server, type Socket } from 'node:net';
import { listenOnFreePort } from './ListenOnFreePort.js';
import type { RawRequest } from './RawRequest.js';

/** A backend server that responds with the raw bytes that a test writes. Supports only requests without a body. */
export class RawServer {
  public readonly requests: RawRequest[] = [];
  public connections = 0;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly onRequest: (request: RawRequest) => void;

  public constructor(onRequest: (request: RawRequest) => void) {
    this.onRequest = onRequest;
    this.server = createServer((socket) => this.accept(socket));
  }

  public async start(): Promise<string> {
    return `127.0.0.1:${await listenOnFreePort(this.server)}`;
  }

  /** Closes the port and all connections, as if the process had ended. */
  public stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: Socket): void {
    this.connections += 1;
    const connection = this.connections;
    this.sockets.add(socket);
    let text = '';
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      for (;;) {
        const end = text.indexOf('\r\n\r\n');
        if (end < 0) return;
        const head = text.slice(0, end);
        text = text.slice(end + 4);
        const id = /x-request-id: (.*)/i.exec(head)?.[1] ?? '';
        const request = { head, id, socket, connection };
        this.requests.push(request);
        this.onRequest(request);
      }
    });
  }
}
