import { createServer, type Server, type ServerResponse } from 'node:http';
import { Task } from '#core/Task.js';
import { listenAt } from '#mesh/ListenAt.js';
import type { ReadinessMessage } from '#mesh/ReadinessMessage.js';

/** Serves the readiness probe, which tells the platform whether callers should use this daemon. Owns its port. */
export class ReadinessTask extends Task<ReadinessMessage> {
  private readonly host: string;
  private readonly port: number;
  private readonly server: Server;
  private ready = false;

  public constructor(host: string, port: number) {
    super();
    this.host = host;
    this.port = port;
    this.server = createServer((_req, res) => this.post({ type: 'asked', res }));
  }

  /** Starts listening; rejects if the address is in use. */
  public listen(): Promise<void> {
    return listenAt(this.server, { host: this.host, port: this.port });
  }

  public override stop(): void {
    super.stop();
    this.server.close();
    this.server.closeAllConnections();
  }

  protected override receive(message: ReadinessMessage): void {
    if (message.type === 'ready') this.ready = message.ready;
    else this.respond(message.res);
  }

  private respond(res: ServerResponse): void {
    res.writeHead(this.ready ? 200 : 503, { 'Content-Length': '0' });
    res.end();
  }
}
